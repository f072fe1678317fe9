package wheatspread.lab.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;

/** A time window in which a fleet is observed, and the figures of that window. */
final class ObservationWindow {
    private static final long OBSERVE_MILLIS = 200;
    private static final double WORST_SECONDS = 10;
    private static final double PERCENT = 100;
    /** Processor use, in percent of all cores, above which runnable threads have to wait for a core. */
    private static final double BUSY_PERCENT = 95;

    private final ScaleFleet fleet;
    private final List<Observation> observations = new ArrayList<>();
    private final double hollowSeconds;
    private final double[] realSeconds;
    private final RealServers.Sent realSent;
    private final MachineResources.Ticks ticks;
    private int maxStaleViews;
    private int maxRaisedLocalHealth;

    /** Starts the window at the current time. */
    ObservationWindow(ScaleFleet fleet) throws IOException {
        this.fleet = fleet;
        fleet.takeWronglyRemoved();
        observe();
        hollowSeconds = fleet.hollowProcessorSeconds();
        realSeconds = fleet.real().processorSeconds();
        realSent = fleet.real().sent();
        ticks = MachineResources.ticks();
    }

    private Observation observe() throws IOException {
        Observation observation = fleet.observe();
        observations.add(observation);
        maxStaleViews = Math.max(maxStaleViews, observation.staleViews());
        maxRaisedLocalHealth = Math.max(maxRaisedLocalHealth, observation.raisedLocalHealth());
        return observation;
    }

    /** Observes the fleet every {@link #OBSERVE_MILLIS} for {@code seconds}. */
    void watch(double seconds) throws IOException, InterruptedException {
        long endNanos = System.nanoTime() + Math.round(seconds * 1e9);
        while (System.nanoTime() < endNanos) {
            TimeUnit.MILLISECONDS.sleep(OBSERVE_MILLIS);
            observe();
        }
    }

    /**
     * Observes the fleet until all members agree on a view. Returns the seconds since {@code sinceNanos}, or NaN if
     * that takes longer than {@code limitSeconds}.
     */
    double awaitView(long sinceNanos, double limitSeconds) throws IOException, InterruptedException {
        while (System.nanoTime() - sinceNanos < limitSeconds * 1e9) {
            Observation observation = observe();
            if (observation.agreed()) {
                return (observation.nanos() - sinceNanos) / 1e9;
            }
            TimeUnit.MILLISECONDS.sleep(OBSERVE_MILLIS);
        }
        return Double.NaN;
    }

    /** Seconds since the start of the window. */
    double seconds() {
        return (System.nanoTime() - observations.get(0).nanos()) / 1e9;
    }

    /**
     * Ends the window and returns its figures. Rates are per member and second; processor time is in percent of a core.
     */
    JSONObject figures() throws IOException {
        Observation last = observe();
        Observation first = observations.get(0);
        double seconds = (last.nanos() - first.nanos()) / 1e9;
        int real = fleet.real().size();
        int hollow = Math.max(1, last.members() - real);
        Set<String> wronglyRemoved = fleet.takeWronglyRemoved();
        double load = MachineResources.loadAverage();
        double busy = MachineResources.ticks().percentSince(ticks);
        double usedPercent = PERCENT * (fleet.hollowProcessorSeconds() - hollowSeconds) / seconds;
        int loops = Math.max(1, fleet.plan().processes() * fleet.plan().loops());
        JSONObject figures = new JSONObject()
                .put("seconds", seconds)
                .put("members", last.members())
                .put("hollow_cpu_percent", usedPercent / hollow)
                .put("bytes_per_s", (last.bytes() - first.bytes()) / seconds / hollow)
                .put("messages_per_s", (last.messages() - first.messages()) / seconds / hollow)
                .put("bytes_per_s_worst_10s", worstBytesPerSecond() / hollow)
                .put("over_rate_dropped", last.droppedOverRate() - first.droppedOverRate())
                .put("wrongly_removed", wronglyRemoved.size())
                .put("most_old", maxStaleViews)
                .put("old_at_end", last.staleViews())
                .put("outside_at_end", last.notInView())
                .put("most_distrusting", maxRaisedLocalHealth)
                .put("views_at_end", last.views().size())
                .put("hollow_loop_cpu_percent", usedPercent / loops)
                .put("load_average", load)
                .put("machine_cpu_percent", busy)
                .put("machine_busy", load > MachineResources.cores() || busy > BUSY_PERCENT);
        return real == 0 ? figures : withReal(figures, seconds, real);
    }

    private JSONObject withReal(JSONObject figures, double seconds, int real) throws IOException {
        double[] usedPercent = fleet.real().processorSeconds();
        for (int i = 0; i < usedPercent.length; i++) {
            usedPercent[i] = PERCENT * (usedPercent[i] - realSeconds[i]) / seconds;
        }
        RealServers.Sent sent = fleet.real().sent();
        return figures.put("real_cpu_percent_each", usedPercent)
                .put("real_cpu_percent", Arrays.stream(usedPercent).average().orElse(0))
                .put("real_bytes_per_s", (sent.bytes() - realSent.bytes()) / seconds / real)
                .put("real_messages_per_s", (sent.messages() - realSent.messages()) / seconds / real);
    }

    /** Bytes per second of all hollow members in the ten seconds of the window with the highest rate. */
    private double worstBytesPerSecond() {
        double worst = 0;
        int from = 0;
        for (int to = 1; to < observations.size(); to++) {
            while ((observations.get(to).nanos() - observations.get(from + 1).nanos()) / 1e9 >= WORST_SECONDS) {
                from++;
            }
            double seconds =
                    (observations.get(to).nanos() - observations.get(from).nanos()) / 1e9;
            boolean fullLength = seconds >= WORST_SECONDS || to == observations.size() - 1 && from == 0;
            if (fullLength && seconds > 0) {
                worst = Math.max(
                        worst,
                        (observations.get(to).bytes() - observations.get(from).bytes()) / seconds);
            }
        }
        return worst;
    }
}
