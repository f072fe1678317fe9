package wheatspread.lab.scale;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.json.JSONArray;
import org.json.JSONObject;

/** One fleet size of a scale run: forms the fleet, observes it in the steady state, and injects the faults. */
public final class ScaleStep {
    /** Longest time from the start of a batch of members until all members hold the same view. */
    private static final double BATCH_SECONDS = 60;

    /** Warm-up before the steady state is measured, in which the JVMs compile. */
    private static final double WARM_SECONDS = 5;

    private static final double IDLE_SECONDS = 12;
    /** Longest wait for a common view after the heap measurement, whose collections pause the processes. */
    private static final double AFTER_HEAP_SECONDS = 20;

    private final ScaleSettings settings;
    private final int hollow;
    private final boolean largest;
    private final Instant deadline;
    private final Consumer<String> progress;

    /** The figures of a step; {@code points} are the figures that enter series, by the name of the series. */
    public record Result(int members, JSONObject figures, Map<String, Double> points) {}

    /**
     * {@code largest} says whether to inject also the faults that take too long for every size. A fault whose time
     * limit would exceed {@code deadline} is skipped.
     */
    public ScaleStep(ScaleSettings settings, int hollow, boolean largest, Instant deadline, Consumer<String> progress) {
        this.settings = settings;
        this.hollow = hollow;
        this.largest = largest;
        this.deadline = deadline;
        this.progress = progress;
    }

    /** Runs the step; may be called once per object. */
    public Result run() throws IOException, InterruptedException {
        try (ScaleFleet fleet = new ScaleFleet(settings, hollow, settings.real())) {
            int members = hollow + settings.real();
            JSONObject figures = new JSONObject()
                    .put("seed", settings.seed())
                    .put("hollow", hollow)
                    .put("real", settings.real())
                    .put("hollow_processes", fleet.plan().processes())
                    .put("loops_a_process", fleet.plan().loops())
                    .put("heap_limit_mb_a_process", fleet.heapMb())
                    .put("rate", settings.rate());
            Map<String, Double> points = new LinkedHashMap<>();
            fleet.start();
            if (form(fleet, figures)) {
                fleet.real().rig().world().setRequestRate(settings.rate());
                measureIdle(fleet, figures, points);
                measureMemory(fleet, figures, points);
                injectFaults(fleet, figures, points);
                reportLoad(fleet, figures);
            }
            return new Result(members, figures, points);
        }
    }

    private void reportProgress(String phase, JSONObject figures) {
        progress.accept(hollow + " hollow, " + phase + ": " + figures);
    }

    /** Starts the members batch by batch; returns whether all members agreed on one view after each batch. */
    private boolean form(ScaleFleet fleet, JSONObject figures) throws IOException, InterruptedException {
        ObservationWindow forming = new ObservationWindow(fleet);
        int batch = settings.batch() > 0 ? settings.batch() : hollow;
        JSONArray viewSeconds = new JSONArray();
        boolean formed = true;
        while (formed && fleet.startNext(batch)) {
            double seconds = forming.awaitView(System.nanoTime(), BATCH_SECONDS);
            formed = !Double.isNaN(seconds);
            viewSeconds.put(formed ? seconds : JSONObject.NULL);
            progress.accept(hollow + " hollow, " + fleet.members() + " members after " + seconds + " s");
        }
        JSONObject phaseFigures = forming.figures().put("batch", batch).put("view_s_each", viewSeconds);
        if (!formed) {
            phaseFigures
                    .put("finding", "no view of " + fleet.members() + " members in " + BATCH_SECONDS + " s")
                    .put("why_old", fleet.real().staleViewReason());
        }
        figures.put("forming", phaseFigures);
        reportProgress("forming", phaseFigures);
        return formed;
    }

    private void measureIdle(ScaleFleet fleet, JSONObject figures, Map<String, Double> points)
            throws IOException, InterruptedException {
        new ObservationWindow(fleet).watch(WARM_SECONDS);
        ObservationWindow window = new ObservationWindow(fleet);
        window.watch(IDLE_SECONDS);
        JSONObject phaseFigures = window.figures();
        figures.put("idle", phaseFigures);
        reportProgress("idle", phaseFigures);
        points.put("membership.cpu_percent_idle", phaseFigures.getDouble("hollow_cpu_percent"));
        points.put("membership.bytes_per_s_idle", phaseFigures.getDouble("bytes_per_s"));
        points.put("membership.messages_per_s_idle", phaseFigures.getDouble("messages_per_s"));
    }

    private void measureMemory(ScaleFleet fleet, JSONObject figures, Map<String, Double> points)
            throws IOException, InterruptedException {
        JSONObject phaseFigures = new JSONObject()
                .put("hollow_resident_bytes", fleet.hollowResidentBytes() / hollow)
                .put("hollow_descriptors", (double) fleet.hollowDescriptors() / hollow)
                .put("hollow_heap_bytes", fleet.hollowLiveHeapBytes() / hollow)
                .put("real_resident_bytes", fleet.real().residentBytes())
                .put("real_heap_bytes", fleet.real().liveHeapBytes());
        figures.put("memory", phaseFigures);
        reportProgress("memory", phaseFigures);
        points.put("membership.heap_bytes", phaseFigures.getDouble("hollow_heap_bytes"));
        points.put("membership.resident_bytes", phaseFigures.getDouble("hollow_resident_bytes"));
        points.put("membership.descriptors", phaseFigures.getDouble("hollow_descriptors"));
        new ObservationWindow(fleet).awaitView(System.nanoTime(), AFTER_HEAP_SECONDS);
    }

    private void injectFaults(ScaleFleet fleet, JSONObject figures, Map<String, Double> points)
            throws IOException, InterruptedException {
        FaultInjector injector = new FaultInjector(fleet, settings.seed());
        JSONArray results = new JSONArray();
        figures.put("faults", results);
        for (FaultKind kind : FaultKind.values()) {
            if (!settings.faults().contains(kind) || kind.largestStepOnly() && !largest) {
                continue;
            }
            if (kind == FaultKind.RETURN && fleet.crashed() == 0) {
                continue;
            }
            if (Instant.now().plus(Duration.ofSeconds(kind.limitSeconds())).isAfter(deadline)) {
                results.put(new JSONObject().put("fault", kind.optionName()).put("skipped", "no time is left"));
                reportProgress(kind.optionName(), results.getJSONObject(results.length() - 1));
                continue;
            }
            JSONObject phaseFigures = injector.run(kind);
            results.put(phaseFigures);
            reportProgress(kind.optionName(), phaseFigures);
            points.put("membership.bytes_per_s_" + kind.optionName(), phaseFigures.getDouble("bytes_per_s"));
            points.put("membership.wrongly_removed_" + kind.optionName(), phaseFigures.getDouble("wrongly_removed"));
            if (!phaseFigures.has("view_s")) {
                progress.accept(hollow
                        + " hollow: the remaining faults are skipped, because the members did not agree on a view");
                return;
            }
            points.put("membership.view_s_" + kind.optionName(), phaseFigures.getDouble("view_s"));
        }
    }

    private void reportLoad(ScaleFleet fleet, JSONObject figures) throws InterruptedException {
        int openRequests = fleet.real().rig().settle();
        JSONObject phaseFigures = fleet.real().rig().world().checker().figures().put("open_at_end", openRequests);
        figures.put("load", phaseFigures);
        reportProgress("load", phaseFigures);
    }

    /** Returns the unit of a series, by the prefix of its name. */
    public static String unit(String series) {
        List<String[]> units = List.of(
                new String[] {"membership.cpu_percent", "percent of a core"},
                new String[] {"membership.bytes_per_s", "bytes/s a member"},
                new String[] {"membership.messages_per_s", "messages/s a member"},
                new String[] {"membership.view_s", "s"},
                new String[] {"membership.wrongly_removed", "members"},
                new String[] {"membership.descriptors", "descriptors a member"});
        return units.stream()
                .filter(entry -> series.startsWith(entry[0]))
                .map(entry -> entry[1])
                .findFirst()
                .orElse("bytes a member");
    }
}
