package wheatspread.lab.settings;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;

/**
 * Sends SIGHUPs under load: first one by one, each after the previous reload is counted, then the same number 20 ms
 * apart, and finally one with an invalid file. Every signal must be counted as applied or refused, and every request
 * must be answered.
 */
final class ReloadMeasurement {
    private static final long COUNT_TIMEOUT_MS = 30_000;
    /** The pause between a counted reload and the next signal. */
    private static final long GAP_MS = 100;

    private static final long BURST_GAP_MS = 20;
    /** Slightly more than the interval at which the server logs its counters, among them the longest turn. */
    private static final long LOG_INTERVAL_MS = 1_100;

    /** Every fiftieth poll of the log also polls the control port. */
    private static final int LOG_POLLS_PER_CONTROL_POLL = 50;

    private static final String RELOAD = " reload ";
    private static final String RELOAD_REFUSED = " reload_rejected ";

    private final MeasuredServer server;
    private final JSONObject configuration;
    private final LoadClients clients;
    private final List<String> faults;

    /** Violations are added to {@code faults}. */
    ReloadMeasurement(MeasuredServer server, JSONObject configuration, LoadClients clients, List<String> faults) {
        this.server = server;
        this.configuration = configuration;
        this.clients = clients;
        this.faults = faults;
    }

    /**
     * Reloads {@code count} times one by one and again in a burst, at {@code rate} requests a second. If the server
     * ends meanwhile, {@code figures} keeps what was measured until then.
     */
    void measure(int count, double rate, CheckProbe probe, JSONObject figures)
            throws IOException, InterruptedException {
        server.resetPeak();
        TimeUnit.MILLISECONDS.sleep(LOG_INTERVAL_MS); // the counters of the time before are not measured
        int skippedLogLines = server.log().size();
        probe.reset();
        AnswerTimes answers = clients.begin();
        clients.sendAtRate(rate);
        try {
            figures.put("one_by_one", reloadOneByOne(count));
            figures.put("burst", reloadInBurst(count));
            figures.put("wrong_file", reloadInvalidFile());
        } finally {
            figures.put("checks", probe.figures());
            awaitAnswers(answers, figures);
        }
        TimeUnit.MILLISECONDS.sleep(LOG_INTERVAL_MS);
        figures.put("peak_resident_bytes", server.peakResidentBytes())
                .put("longest_turn_ms", server.longestTurnMillis(skippedLogLines))
                .put("logged_reload", server.countLogLines(line -> line.contains(RELOAD)))
                .put("logged_reload_refused", server.countLogLines(line -> line.contains(RELOAD_REFUSED)));
    }

    private void awaitAnswers(AnswerTimes answers, JSONObject figures) throws InterruptedException {
        int unanswered = clients.stopAndAwaitAnswers();
        figures.put("answers", answers.figures());
        if (answers.lateOrLost() > 0 || unanswered > 0) {
            faults.add(answers.lateOrLost() + " answers late or lost during reloads");
        }
    }

    private JSONObject reloadOneByOne(int count) throws IOException, InterruptedException {
        MeasuredServer.Reloads before = readReloads();
        List<Double> seconds = new ArrayList<>();
        int sent = 0;
        while (sent < count) {
            long countBefore = readReloads().total();
            long beganNanos = System.nanoTime();
            server.signalReload();
            sent++;
            if (!awaitCounted(countBefore + 1)) {
                break;
            }
            seconds.add((System.nanoTime() - beganNanos) / 1e9);
            TimeUnit.MILLISECONDS.sleep(GAP_MS);
        }
        Collections.sort(seconds);
        JSONObject figures = countFigures(sent, before, "one by one");
        return seconds.isEmpty()
                ? figures
                : figures.put("seconds_median", seconds.get(seconds.size() / 2))
                        .put("seconds_max", seconds.get(seconds.size() - 1));
    }

    private JSONObject reloadInBurst(int count) throws IOException, InterruptedException {
        MeasuredServer.Reloads before = readReloads();
        long beganNanos = System.nanoTime();
        for (int i = 0; i < count; i++) {
            server.signalReload();
            TimeUnit.MILLISECONDS.sleep(BURST_GAP_MS);
        }
        awaitCounted(before.total() + count);
        return countFigures(count, before, "in a burst")
                .put("seconds_until_all_counted", (System.nanoTime() - beganNanos) / 1e9);
    }

    private JSONObject reloadInvalidFile() throws IOException, InterruptedException {
        server.configure(SettingsFiles.withInvalidQuota(configuration));
        MeasuredServer.Reloads before = readReloads();
        server.signalReload();
        awaitCounted(before.total() + 1);
        MeasuredServer.Reloads after = readReloads();
        boolean refused = after.refused() == before.refused() + 1 && after.applied() == before.applied();
        if (!refused) {
            faults.add("reload with a negative quota of the last tenant was not refused");
        }
        server.configure(configuration);
        String reason = server.log().stream()
                .filter(line -> line.contains(RELOAD_REFUSED))
                .reduce("", (first, last) -> last);
        return new JSONObject().put("refused", refused).put("message", reason.replaceFirst("^\\S+ ", ""));
    }

    private JSONObject countFigures(int sent, MeasuredServer.Reloads before, String mode)
            throws IOException, InterruptedException {
        MeasuredServer.Reloads after = readReloads();
        long applied = after.applied() - before.applied();
        long refused = after.refused() - before.refused();
        if (applied != sent) {
            faults.add(applied + " reloads applied and " + refused + " refused of " + sent + " signalled " + mode);
        }
        return new JSONObject().put("sent", sent).put("taken", applied).put("refused", refused);
    }

    /**
     * Waits until {@code total} reloads are logged, or counted at the control port. The log shows them sooner and
     * reading it puts no load on the server, but it may suppress repeated lines.
     */
    private boolean awaitCounted(long total) throws InterruptedException {
        int[] polls = new int[1];
        return MeasuredServer.await(
                () -> loggedReloads() >= total
                        || ++polls[0] % LOG_POLLS_PER_CONTROL_POLL == 0 && reloadsAtControlPort() >= total,
                COUNT_TIMEOUT_MS);
    }

    private long loggedReloads() {
        return server.countLogLines(line -> line.contains(RELOAD) || line.contains(RELOAD_REFUSED));
    }

    private long reloadsAtControlPort() {
        MeasuredServer.Reloads reloads = server.reloads();
        return reloads == null ? 0 : reloads.total();
    }

    private MeasuredServer.Reloads readReloads() throws IOException, InterruptedException {
        MeasuredServer.Reloads[] reloads = new MeasuredServer.Reloads[1];
        boolean answered = MeasuredServer.await(
                () -> {
                    reloads[0] = server.reloads();
                    return reloads[0] != null || !server.isAlive();
                },
                COUNT_TIMEOUT_MS);
        if (!answered || reloads[0] == null) {
            throw new IOException("control port gave no reload counters: the server ended or did not answer within "
                    + COUNT_TIMEOUT_MS + " ms");
        }
        return reloads[0];
    }
}
