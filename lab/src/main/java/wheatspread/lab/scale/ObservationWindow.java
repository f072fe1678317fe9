package wheatspread.lab.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;

/** A stretch of time in which a fleet is watched, and its figures. */
final class ObservationWindow {
    private static final long LOOK_MILLIS = 200;
    private static final double WORST_SECONDS = 10;
    private static final double PERCENT = 100;
    /** From this share of processor time on nothing is left over for whoever waits; percent of all cores. */
    private static final double BUSY_PERCENT = 95;

    private final ScaleFleet fleet;
    private final List<Observation> seen = new ArrayList<>();
    private final double hollowSeconds;
    private final double[] realSeconds;
    private final RealServers.Sent realSent;
    private final MachineResources.Ticks ticks;
    private int mostOld;
    private int mostDistrusting;

    /** Begins now. */
    ObservationWindow(ScaleFleet fleet) throws IOException {
        this.fleet = fleet;
        fleet.takeWronglyRemoved();
        look();
        hollowSeconds = fleet.hollowProcessorSeconds();
        realSeconds = fleet.real().processorSeconds();
        realSent = fleet.real().sent();
        ticks = MachineResources.ticks();
    }

    private Observation look() throws IOException {
        Observation now = fleet.observe();
        seen.add(now);
        mostOld = Math.max(mostOld, now.old());
        mostDistrusting = Math.max(mostDistrusting, now.distrusting());
        return now;
    }

    /** Watches for so long. */
    void watch(double seconds) throws IOException, InterruptedException {
        long until = System.nanoTime() + Math.round(seconds * 1e9);
        while (System.nanoTime() < until) {
            TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS);
            look();
        }
    }

    /** Watches until all agree; returns the seconds since {@code sinceNanos}, or NaN where that takes too long. */
    double awaitView(long sinceNanos, double limitSeconds) throws IOException, InterruptedException {
        while (System.nanoTime() - sinceNanos < limitSeconds * 1e9) {
            Observation now = look();
            if (now.agreed()) {
                return (now.nanos() - sinceNanos) / 1e9;
            }
            TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS);
        }
        return Double.NaN;
    }

    /** Seconds since its beginning. */
    double seconds() {
        return (System.nanoTime() - seen.get(0).nanos()) / 1e9;
    }

    /** Ends it. Rates are those of a member and second, processor time is in percent of a core. */
    JSONObject figures() throws IOException {
        Observation last = look();
        Observation first = seen.get(0);
        double seconds = (last.nanos() - first.nanos()) / 1e9;
        int real = fleet.real().size();
        int hollow = Math.max(1, last.members() - real);
        Set<String> wrongly = fleet.takeWronglyRemoved();
        double load = MachineResources.loadAverage();
        double busy = MachineResources.ticks().percentSince(ticks);
        double used = PERCENT * (fleet.hollowProcessorSeconds() - hollowSeconds) / seconds;
        int loops = Math.max(1, fleet.plan().processes() * fleet.plan().loops());
        JSONObject figures = new JSONObject()
                .put("seconds", seconds)
                .put("members", last.members())
                .put("hollow_cpu_percent", used / hollow)
                .put("bytes_per_s", (last.bytes() - first.bytes()) / seconds / hollow)
                .put("messages_per_s", (last.messages() - first.messages()) / seconds / hollow)
                .put("bytes_per_s_worst_10s", worstBytes() / hollow)
                .put("over_rate_dropped", last.overRate() - first.overRate())
                .put("wrongly_removed", wrongly.size())
                .put("most_old", mostOld)
                .put("old_at_end", last.old())
                .put("outside_at_end", last.outside())
                .put("most_distrusting", mostDistrusting)
                .put("views_at_end", last.views().size())
                .put("hollow_loop_cpu_percent", used / loops)
                .put("load_average", load)
                .put("machine_cpu_percent", busy)
                .put("machine_busy", load > MachineResources.cores() || busy > BUSY_PERCENT);
        return real == 0 ? figures : withReal(figures, seconds, real);
    }

    private JSONObject withReal(JSONObject figures, double seconds, int real) throws IOException {
        double[] used = fleet.real().processorSeconds();
        for (int i = 0; i < used.length; i++) {
            used[i] = PERCENT * (used[i] - realSeconds[i]) / seconds;
        }
        RealServers.Sent sent = fleet.real().sent();
        return figures.put("real_cpu_percent_each", used)
                .put("real_cpu_percent", Arrays.stream(used).average().orElse(0))
                .put("real_bytes_per_s", (sent.bytes() - realSent.bytes()) / seconds / real)
                .put("real_messages_per_s", (sent.messages() - realSent.messages()) / seconds / real);
    }

    /** Bytes a second of all hollow members in the ten seconds with most of them. */
    private double worstBytes() {
        double worst = 0;
        int from = 0;
        for (int to = 1; to < seen.size(); to++) {
            while ((seen.get(to).nanos() - seen.get(from + 1).nanos()) / 1e9 >= WORST_SECONDS) {
                from++;
            }
            double seconds = (seen.get(to).nanos() - seen.get(from).nanos()) / 1e9;
            boolean whole = seconds >= WORST_SECONDS || to == seen.size() - 1 && from == 0;
            if (whole && seconds > 0) {
                worst = Math.max(worst, (seen.get(to).bytes() - seen.get(from).bytes()) / seconds);
            }
        }
        return worst;
    }
}
