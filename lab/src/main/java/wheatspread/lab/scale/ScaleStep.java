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

/** One size of a scale run: the fleet is formed, watched in its steady state, and hit by the faults. */
public final class ScaleStep {
    /** How long a batch of new members may take until all are in one view. */
    private static final double BATCH_SECONDS = 60;

    /** The JVMs compile meanwhile. */
    private static final double WARM_SECONDS = 5;

    private static final double IDLE_SECONDS = 12;
    /** After the heap was measured, for which the processes are stopped. */
    private static final double AFTER_HEAP_SECONDS = 20;

    private final ScaleSettings settings;
    private final int hollow;
    private final boolean largest;
    private final Instant deadline;
    private final Consumer<String> progress;

    /** What a step measured; {@code points} are the figures for slopes, by the name of their series. */
    public record Result(int members, JSONObject figures, Map<String, Double> points) {}

    /**
     * {@code largest}: the faults that last too long for every size are played too. No fault is begun that could
     * last beyond the deadline.
     */
    public ScaleStep(ScaleSettings settings, int hollow, boolean largest, Instant deadline, Consumer<String> progress) {
        this.settings = settings;
        this.hollow = hollow;
        this.largest = largest;
        this.deadline = deadline;
        this.progress = progress;
    }

    /** Once an object. */
    public Result play() throws IOException, InterruptedException {
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
                idle(fleet, figures, points);
                memory(fleet, figures, points);
                faults(fleet, figures, points);
                load(fleet, figures);
            }
            return new Result(members, figures, points);
        }
    }

    private void tell(String what, JSONObject figures) {
        progress.accept(hollow + " hollow, " + what + ": " + figures);
    }

    /** Starts the members batch by batch; returns whether all came to one view. */
    private boolean form(ScaleFleet fleet, JSONObject figures) throws IOException, InterruptedException {
        ObservationWindow forming = new ObservationWindow(fleet);
        int batch = settings.batch() > 0 ? settings.batch() : hollow;
        JSONArray took = new JSONArray();
        boolean formed = true;
        while (formed && fleet.startNext(batch)) {
            double seconds = forming.awaitView(System.nanoTime(), BATCH_SECONDS);
            formed = !Double.isNaN(seconds);
            took.put(formed ? seconds : JSONObject.NULL);
            progress.accept(hollow + " hollow, " + fleet.members() + " members after " + seconds + " s");
        }
        JSONObject told = forming.figures().put("batch", batch).put("view_s_each", took);
        if (!formed) {
            told.put("finding", "no view of " + fleet.members() + " members in " + BATCH_SECONDS + " s")
                    .put("why_old", fleet.real().whyOld());
        }
        figures.put("forming", told);
        tell("forming", told);
        return formed;
    }

    private void idle(ScaleFleet fleet, JSONObject figures, Map<String, Double> points)
            throws IOException, InterruptedException {
        new ObservationWindow(fleet).watch(WARM_SECONDS);
        ObservationWindow window = new ObservationWindow(fleet);
        window.watch(IDLE_SECONDS);
        JSONObject told = window.figures();
        figures.put("idle", told);
        tell("idle", told);
        points.put("membership.cpu_percent_idle", told.getDouble("hollow_cpu_percent"));
        points.put("membership.bytes_per_s_idle", told.getDouble("bytes_per_s"));
        points.put("membership.messages_per_s_idle", told.getDouble("messages_per_s"));
    }

    private void memory(ScaleFleet fleet, JSONObject figures, Map<String, Double> points)
            throws IOException, InterruptedException {
        JSONObject told = new JSONObject()
                .put("hollow_resident_bytes", fleet.hollowResidentBytes() / hollow)
                .put("hollow_descriptors", (double) fleet.hollowDescriptors() / hollow)
                .put("hollow_heap_bytes", fleet.hollowLiveHeapBytes() / hollow)
                .put("real_resident_bytes", fleet.real().residentBytes())
                .put("real_heap_bytes", fleet.real().liveHeapBytes());
        figures.put("memory", told);
        tell("memory", told);
        points.put("membership.heap_bytes", told.getDouble("hollow_heap_bytes"));
        points.put("membership.resident_bytes", told.getDouble("hollow_resident_bytes"));
        points.put("membership.descriptors", told.getDouble("hollow_descriptors"));
        new ObservationWindow(fleet).awaitView(System.nanoTime(), AFTER_HEAP_SECONDS);
    }

    private void faults(ScaleFleet fleet, JSONObject figures, Map<String, Double> points)
            throws IOException, InterruptedException {
        FaultPlayer player = new FaultPlayer(fleet, settings.seed());
        JSONArray played = new JSONArray();
        figures.put("faults", played);
        for (FaultKind kind : FaultKind.values()) {
            if (!settings.faults().contains(kind) || kind.largestStepOnly() && !largest) {
                continue;
            }
            if (kind == FaultKind.RETURN && fleet.lost() == 0) {
                continue;
            }
            if (Instant.now().plus(Duration.ofSeconds(kind.limitSeconds())).isAfter(deadline)) {
                played.put(new JSONObject().put("fault", kind.word()).put("skipped", "no time is left"));
                tell(kind.word(), played.getJSONObject(played.length() - 1));
                continue;
            }
            JSONObject told = player.play(kind);
            played.put(told);
            tell(kind.word(), told);
            points.put("membership.bytes_per_s_" + kind.word(), told.getDouble("bytes_per_s"));
            points.put("membership.wrongly_removed_" + kind.word(), told.getDouble("wrongly_removed"));
            if (!told.has("view_s")) {
                progress.accept(hollow + " hollow: no further fault is played on a fleet without one view");
                return;
            }
            points.put("membership.view_s_" + kind.word(), told.getDouble("view_s"));
        }
    }

    private void load(ScaleFleet fleet, JSONObject figures) throws InterruptedException {
        int open = fleet.real().rig().settle();
        JSONObject told = fleet.real().rig().world().checker().figures().put("open_at_end", open);
        figures.put("load", told);
        tell("load", told);
    }

    /** The unit of a series by its name. */
    public static String unit(String series) {
        List<String[]> units = List.of(
                new String[] {"membership.cpu_percent", "percent of a core"},
                new String[] {"membership.bytes_per_s", "bytes/s a member"},
                new String[] {"membership.messages_per_s", "messages/s a member"},
                new String[] {"membership.view_s", "s"},
                new String[] {"membership.wrongly_removed", "members"},
                new String[] {"membership.descriptors", "descriptors a member"});
        return units.stream()
                .filter(one -> series.startsWith(one[0]))
                .map(one -> one[1])
                .findFirst()
                .orElse("bytes a member");
    }
}
