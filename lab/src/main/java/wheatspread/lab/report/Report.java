package wheatspread.lab.report;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.json.JSONObject;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** The figures of a measurement, with the machine they come from: as JSON, and some of them as a plot. */
public final class Report {
    private final String name;
    private final Map<String, JSONObject> parts = new LinkedHashMap<>();
    private final List<Series> series = new ArrayList<>();

    public Report(String name) {
        this.name = name;
    }

    public void put(String part, JSONObject figures) {
        parts.put(part, figures);
    }

    /** Adds a figure measured at several sizes, for the capacity page. */
    public void add(Series measured) {
        series.add(measured);
    }

    /** The names of the parts, in their order. */
    public List<String> parts() {
        return List.copyOf(parts.keySet());
    }

    /** The figures of a part. */
    public JSONObject get(String part) {
        return parts.get(part);
    }

    /** What was measured on. */
    public static JSONObject machine() throws IOException {
        String model = "";
        for (String line : Files.readAllLines(Path.of("/proc/cpuinfo"))) {
            model = line.startsWith("model name") ? line.substring(line.indexOf(':') + 2) : model;
        }
        return new JSONObject()
                .put("processor", model)
                .put("cores", Runtime.getRuntime().availableProcessors())
                .put("system", System.getProperty("os.name") + " " + System.getProperty("os.version"))
                .put("java", System.getProperty("java.version"));
    }

    /** Writes {@code NAME.json} into a folder. */
    public void write(Path folder) throws IOException {
        Files.createDirectories(folder);
        JSONObject all = new JSONObject().put("machine", machine()).put("command", command());
        parts.forEach(all::put);
        if (!series.isEmpty()) {
            all.put(Series.KEY, series.stream().map(Series::toJson).toList());
        }
        Files.writeString(folder.resolve(name + ".json"), all.toString(1) + "\n", StandardCharsets.UTF_8);
    }

    private static String command() {
        return "java -jar lab/target/wheatspread-lab.jar "
                + System.getProperty("sun.java.command", "").replaceFirst("^\\S+ ?", "");
    }

    /** Draws bars, one group for each series, into {@code NAME.png}. */
    public static void bars(Path file, String title, String unit, Map<String, Map<String, Double>> series)
            throws IOException {
        Files.createDirectories(file.toAbsolutePath().getParent());
        System.setProperty("java.awt.headless", "true");
        CategoryChart chart = new CategoryChartBuilder()
                .width(900)
                .height(500)
                .title(title)
                .yAxisTitle(unit)
                .build();
        chart.getStyler().setLegendVisible(true);
        List<String> names = new ArrayList<>(new TreeMap<>(series).keySet());
        for (String one : names) {
            chart.addSeries(
                    one,
                    new ArrayList<>(series.get(one).keySet()),
                    new ArrayList<>(series.get(one).values()));
        }
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }

    /** Draws lines over equal steps of one, from 0, into a file; values that are no numbers are left out. */
    public static void lines(Path file, String title, String x, String y, Map<String, double[]> series)
            throws IOException {
        System.setProperty("java.awt.headless", "true");
        XYChart chart = new XYChartBuilder()
                .width(1_000)
                .height(500)
                .title(title)
                .xAxisTitle(x)
                .yAxisTitle(y)
                .build();
        series.forEach((name, values) -> {
            List<Integer> at = new ArrayList<>();
            List<Double> told = new ArrayList<>();
            for (int i = 0; i < values.length; i++) {
                if (!Double.isNaN(values[i])) {
                    at.add(i);
                    told.add(values[i]);
                }
            }
            chart.addSeries(name, at, told).setMarker(SeriesMarkers.NONE);
        });
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
