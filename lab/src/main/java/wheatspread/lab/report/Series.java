package wheatspread.lab.report;

import java.util.ArrayList;
import java.util.List;
import org.json.JSONArray;
import org.json.JSONObject;

/**
 * A figure measured at several sizes. A report file holds its series under the key {@code series}, and the capacity
 * page fits its slopes to their points.
 *
 * @param name name of the figure, such as {@code membership.bytes_per_member_second}
 * @param unit unit of the figure, such as {@code bytes/s}
 * @param per quantity that the size counts, such as {@code members} or {@code tenants}
 * @param points points in the order of measurement
 */
public record Series(String name, String unit, String per, List<Point> points) {
    /** The key of the series in a report file. */
    public static final String KEY = "series";

    public Series {
        points = List.copyOf(points);
    }

    /** A point: {@code value} was measured at {@code size}. */
    public record Point(double size, double value) {}

    /** Encodes this series for a report file. */
    public JSONObject toJson() {
        JSONArray pairs = new JSONArray();
        points.forEach(point -> pairs.put(new JSONArray().put(point.size).put(point.value)));
        return new JSONObject()
                .put("name", name)
                .put("unit", unit)
                .put("per", per)
                .put("points", pairs);
    }

    /** Returns the series of a report; empty if the report has none. */
    public static List<Series> of(JSONObject report) {
        List<Series> seriesList = new ArrayList<>();
        JSONArray entries = report.optJSONArray(KEY);
        for (int i = 0; entries != null && i < entries.length(); i++) {
            seriesList.add(fromJson(entries.getJSONObject(i)));
        }
        return seriesList;
    }

    private static Series fromJson(JSONObject entry) {
        List<Point> points = new ArrayList<>();
        for (Object pair : entry.getJSONArray("points")) {
            JSONArray values = (JSONArray) pair;
            points.add(new Point(values.getDouble(0), values.getDouble(1)));
        }
        return new Series(entry.getString("name"), entry.getString("unit"), entry.getString("per"), points);
    }
}
