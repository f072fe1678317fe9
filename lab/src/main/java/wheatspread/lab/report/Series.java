package wheatspread.lab.report;

import java.util.ArrayList;
import java.util.List;
import org.json.JSONArray;
import org.json.JSONObject;

/**
 * One measured figure at several sizes, as a report file holds it under the key {@code series}. The capacity page
 * fits its slopes to these points.
 *
 * @param name what was measured, such as {@code membership.bytes_per_member_second}
 * @param unit the unit of the measured figure, such as {@code bytes/s}
 * @param per what the size counts, such as {@code members} or {@code tenants}
 * @param points the measured points in the order in which they were measured
 */
public record Series(String name, String unit, String per, List<Point> points) {
    /** The key of a report file under which its series stand. */
    public static final String KEY = "series";

    public Series {
        points = List.copyOf(points);
    }

    /** The figure {@code value} as it was measured at {@code size}. */
    public record Point(double size, double value) {}

    /** This series as it stands in a report file. */
    public JSONObject toJson() {
        JSONArray pairs = new JSONArray();
        points.forEach(point -> pairs.put(new JSONArray().put(point.size).put(point.value)));
        return new JSONObject()
                .put("name", name)
                .put("unit", unit)
                .put("per", per)
                .put("points", pairs);
    }

    /** All series of a report; none where it has no such key. */
    public static List<Series> of(JSONObject report) {
        List<Series> all = new ArrayList<>();
        JSONArray told = report.optJSONArray(KEY);
        for (int i = 0; told != null && i < told.length(); i++) {
            all.add(fromJson(told.getJSONObject(i)));
        }
        return all;
    }

    private static Series fromJson(JSONObject told) {
        List<Point> points = new ArrayList<>();
        for (Object pair : told.getJSONArray("points")) {
            JSONArray values = (JSONArray) pair;
            points.add(new Point(values.getDouble(0), values.getDouble(1)));
        }
        return new Series(told.getString("name"), told.getString("unit"), told.getString("per"), points);
    }
}
