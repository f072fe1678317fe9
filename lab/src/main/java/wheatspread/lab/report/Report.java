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

/** The figures of a measurement with a description of the machine, written as a JSON file, and plots of figures. */
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

    /** Adds a figure measured at several sizes, from which the capacity page is computed. */
    public void add(Series sizeSeries) {
        series.add(sizeSeries);
    }

    /** Returns the names of the parts in the order in which they were added. */
    public List<String> parts() {
        return List.copyOf(parts.keySet());
    }

    /** Returns the figures of a part, or null if the report has no such part. */
    public JSONObject get(String part) {
        return parts.get(part);
    }

    /** Returns processor model, number of cores, operating system and Java version of this machine. */
    public static JSONObject machine() throws IOException {
        String processorModel = "";
        for (String line : Files.readAllLines(Path.of("/proc/cpuinfo"))) {
            processorModel = line.startsWith("model name") ? line.substring(line.indexOf(':') + 2) : processorModel;
        }
        return new JSONObject()
                .put("processor", processorModel)
                .put("cores", Runtime.getRuntime().availableProcessors())
                .put("system", System.getProperty("os.name") + " " + System.getProperty("os.version"))
                .put("java", System.getProperty("java.version"));
    }

    /** Writes {@code NAME.json} into a folder, which is created if it is missing. */
    public void write(Path folder) throws IOException {
        Files.createDirectories(folder);
        JSONObject report = new JSONObject().put("machine", machine()).put("command", command());
        parts.forEach(report::put);
        if (!series.isEmpty()) {
            report.put(Series.KEY, series.stream().map(Series::toJson).toList());
        }
        Files.writeString(folder.resolve(name + ".json"), report.toString(1) + "\n", StandardCharsets.UTF_8);
    }

    private static String command() {
        return "java -jar lab/target/wheatspread-lab.jar "
                + System.getProperty("sun.java.command", "").replaceFirst("^\\S+ ?", "");
    }

    /** Writes a bar chart with one group of bars for each series to a PNG file. */
    public static void writeBarChart(Path file, String title, String unit, Map<String, Map<String, Double>> series)
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
        for (String seriesName : names) {
            chart.addSeries(
                    seriesName,
                    new ArrayList<>(series.get(seriesName).keySet()),
                    new ArrayList<>(series.get(seriesName).values()));
        }
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }

    /** Writes a line chart to a PNG file. The values lie at x = 0, 1, 2, ...; NaN values are omitted. */
    public static void writeLineChart(
            Path file, String title, String xTitle, String yTitle, Map<String, double[]> series) throws IOException {
        System.setProperty("java.awt.headless", "true");
        XYChart chart = new XYChartBuilder()
                .width(1_000)
                .height(500)
                .title(title)
                .xAxisTitle(xTitle)
                .yAxisTitle(yTitle)
                .build();
        series.forEach((name, values) -> {
            List<Integer> xValues = new ArrayList<>();
            List<Double> yValues = new ArrayList<>();
            for (int i = 0; i < values.length; i++) {
                if (!Double.isNaN(values[i])) {
                    xValues.add(i);
                    yValues.add(values[i]);
                }
            }
            chart.addSeries(name, xValues, yValues).setMarker(SeriesMarkers.NONE);
        });
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
