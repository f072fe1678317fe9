package wheatspread.lab.scale;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.json.JSONArray;
import org.json.JSONObject;

/**
 * What a process of hollow servers tells of its members: one line of JSON on its standard output for each order.
 *
 * @param alive members whose sockets are open and that do not leave
 * @param views how many living members hold a view, by {@link ViewKey#toString}
 * @param old living members that say that their view is old
 * @param outside living members that are in no view
 * @param distrusting living members that wait longer than usual before they accuse others
 * @param sent messages sent since the process began, by all members that ever lived in it
 * @param sentBytes bytes sent, likewise
 * @param overRate messages that came faster than they may be read, likewise
 * @param removed members gone from a view since the last report and not by themselves, as {@code name#start}
 */
public record HollowReport(
        int alive,
        Map<String, Integer> views,
        int old,
        int outside,
        int distrusting,
        long sent,
        long sentBytes,
        long overRate,
        Set<String> removed) {
    /** This report as one line of text. */
    public String toLine() {
        return new JSONObject()
                .put("alive", alive)
                .put("views", new JSONObject(views))
                .put("old", old)
                .put("outside", outside)
                .put("distrusting", distrusting)
                .put("sent", sent)
                .put("sent_bytes", sentBytes)
                .put("over_rate", overRate)
                .put("removed", new JSONArray(removed))
                .toString();
    }

    /** The report in a line. */
    public static HollowReport fromLine(String line) {
        JSONObject told = new JSONObject(line);
        Map<String, Integer> views = new LinkedHashMap<>();
        JSONObject counts = told.getJSONObject("views");
        counts.keySet().forEach(key -> views.put(key, counts.getInt(key)));
        Set<String> removed = new LinkedHashSet<>();
        told.getJSONArray("removed").forEach(one -> removed.add((String) one));
        return new HollowReport(
                told.getInt("alive"),
                views,
                told.getInt("old"),
                told.getInt("outside"),
                told.getInt("distrusting"),
                told.getLong("sent"),
                told.getLong("sent_bytes"),
                told.getLong("over_rate"),
                removed);
    }
}
