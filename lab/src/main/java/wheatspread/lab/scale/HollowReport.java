package wheatspread.lab.scale;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.json.JSONArray;
import org.json.JSONObject;

/**
 * The state of the members of a process of hollow servers, written as one line of JSON on its standard output for each
 * order.
 *
 * @param alive number of members whose sockets are open and that are not leaving
 * @param views number of live members that hold a view, by {@link ViewKey#toString}
 * @param staleViews number of live members that reach no quorum of their view
 * @param notInView number of live members that are not in the view that they hold, or hold none
 * @param raisedLocalHealth number of live members whose local health multiplier is raised
 * @param sent number of messages that all members of the process, closed ones included, sent since it started
 * @param sentBytes number of bytes in these messages
 * @param overRate number of received messages that were dropped because they exceeded the permitted rate
 * @param removed members that views dropped since the last report although they did not leave by themselves, as
 *     {@code name#start}
 */
public record HollowReport(
        int alive,
        Map<String, Integer> views,
        int staleViews,
        int notInView,
        int raisedLocalHealth,
        long sent,
        long sentBytes,
        long overRate,
        Set<String> removed) {
    /** Returns this report as one line of JSON, without the line end. */
    public String toLine() {
        return new JSONObject()
                .put("alive", alive)
                .put("views", new JSONObject(views))
                .put("old", staleViews)
                .put("outside", notInView)
                .put("distrusting", raisedLocalHealth)
                .put("sent", sent)
                .put("sent_bytes", sentBytes)
                .put("over_rate", overRate)
                .put("removed", new JSONArray(removed))
                .toString();
    }

    /** Parses a line that {@link #toLine} wrote. */
    public static HollowReport fromLine(String line) {
        JSONObject json = new JSONObject(line);
        Map<String, Integer> views = new LinkedHashMap<>();
        JSONObject counts = json.getJSONObject("views");
        counts.keySet().forEach(key -> views.put(key, counts.getInt(key)));
        Set<String> removed = new LinkedHashSet<>();
        json.getJSONArray("removed").forEach(id -> removed.add((String) id));
        return new HollowReport(
                json.getInt("alive"),
                views,
                json.getInt("old"),
                json.getInt("outside"),
                json.getInt("distrusting"),
                json.getLong("sent"),
                json.getLong("sent_bytes"),
                json.getLong("over_rate"),
                removed);
    }
}
