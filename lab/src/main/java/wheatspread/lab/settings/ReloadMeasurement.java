package wheatspread.lab.settings;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;

/**
 * SIGHUPs under load: so many one after the other, each once the one before it is counted; as many again 20 ms apart;
 * and one with a wrong file. Every signal must be counted, as taken over or refused, and every request answered.
 */
final class ReloadMeasurement {
    private static final long COUNTED_MS = 30_000;
    /** Between a reload and the next signal. */
    private static final long GAP_MS = 100;

    private static final long BURST_GAP_MS = 20;
    /** Of the counters in the log, which tell the longest turn. */
    private static final long REPORT_MS = 1_100;

    /** Of so many looks at the log, one is at the operators' door as well. */
    private static final int LOOKS_AT_DOOR = 50;

    private static final String RELOAD = " reload ";
    private static final String RELOAD_REFUSED = " reload_rejected ";

    private final MeasuredServer server;
    private final JSONObject configuration;
    private final LoadClients callers;
    private final List<String> faults;

    /** What is broken is added to {@code faults}. */
    ReloadMeasurement(MeasuredServer server, JSONObject configuration, LoadClients callers, List<String> faults) {
        this.server = server;
        this.configuration = configuration;
        this.callers = callers;
        this.faults = faults;
    }

    /**
     * Reloads {@code count} times one after the other and again in a burst, at {@code rate} requests a second. The
     * figures that there are by then are kept where a server ends meanwhile.
     */
    void measure(int count, double rate, CheckProbe probe, JSONObject figures)
            throws IOException, InterruptedException {
        server.resetPeak();
        TimeUnit.MILLISECONDS.sleep(REPORT_MS); // what was before does not count
        int logFrom = server.log().size();
        probe.begin();
        AnswerTimes answers = callers.begin();
        callers.ask(rate);
        try {
            figures.put("one_by_one", oneByOne(count));
            figures.put("burst", burst(count));
            figures.put("wrong_file", wrongFile());
        } finally {
            figures.put("checks", probe.figures());
            settle(answers, figures);
        }
        TimeUnit.MILLISECONDS.sleep(REPORT_MS);
        figures.put("peak_resident_bytes", server.peakResidentBytes())
                .put("longest_turn_ms", server.longestTurnMillis(logFrom))
                .put("logged_reload", server.logged(line -> line.contains(RELOAD)))
                .put("logged_reload_refused", server.logged(line -> line.contains(RELOAD_REFUSED)));
    }

    private void settle(AnswerTimes answers, JSONObject figures) throws InterruptedException {
        int unanswered = callers.settle();
        figures.put("answers", answers.figures());
        if (answers.lateOrLost() > 0 || unanswered > 0) {
            faults.add(answers.lateOrLost() + " answers late or lost during reloads");
        }
    }

    private JSONObject oneByOne(int count) throws IOException, InterruptedException {
        MeasuredServer.Reloads before = counted();
        List<Double> seconds = new ArrayList<>();
        int sent = 0;
        while (sent < count) {
            long had = counted().all();
            long began = System.nanoTime();
            server.hangUp();
            sent++;
            if (!awaitCounted(had + 1)) {
                break;
            }
            seconds.add((System.nanoTime() - began) / 1e9);
            TimeUnit.MILLISECONDS.sleep(GAP_MS);
        }
        Collections.sort(seconds);
        JSONObject figures = sent(sent, before, "one by one");
        return seconds.isEmpty()
                ? figures
                : figures.put("seconds_median", seconds.get(seconds.size() / 2))
                        .put("seconds_max", seconds.get(seconds.size() - 1));
    }

    private JSONObject burst(int count) throws IOException, InterruptedException {
        MeasuredServer.Reloads before = counted();
        long began = System.nanoTime();
        for (int i = 0; i < count; i++) {
            server.hangUp();
            TimeUnit.MILLISECONDS.sleep(BURST_GAP_MS);
        }
        awaitCounted(before.all() + count);
        return sent(count, before, "in a burst").put("seconds_until_all_counted", (System.nanoTime() - began) / 1e9);
    }

    private JSONObject wrongFile() throws IOException, InterruptedException {
        server.configure(SettingsFiles.withWrongQuota(configuration));
        MeasuredServer.Reloads before = counted();
        server.hangUp();
        awaitCounted(before.all() + 1);
        MeasuredServer.Reloads after = counted();
        boolean refused = after.refused() == before.refused() + 1 && after.taken() == before.taken();
        if (!refused) {
            faults.add("a negative quota at the last tenant was not refused");
        }
        server.configure(configuration);
        String reason = server.log().stream()
                .filter(line -> line.contains(RELOAD_REFUSED))
                .reduce("", (first, last) -> last);
        return new JSONObject().put("refused", refused).put("message", reason.replaceFirst("^\\S+ ", ""));
    }

    private JSONObject sent(int sent, MeasuredServer.Reloads before, String how)
            throws IOException, InterruptedException {
        MeasuredServer.Reloads after = counted();
        long taken = after.taken() - before.taken();
        long refused = after.refused() - before.refused();
        if (taken != sent) {
            faults.add(taken + " reloads taken and " + refused + " refused of " + sent + " sent " + how);
        }
        return new JSONObject().put("sent", sent).put("taken", taken).put("refused", refused);
    }

    /**
     * Waits until so many reloads are logged, or counted at the door: the log tells it sooner and leaves the server
     * alone, but it may leave out repeats.
     */
    private boolean awaitCounted(long all) throws InterruptedException {
        int[] looks = new int[1];
        return MeasuredServer.await(
                () -> logged() >= all || ++looks[0] % LOOKS_AT_DOOR == 0 && countedAtDoor() >= all, COUNTED_MS);
    }

    private long logged() {
        return server.logged(line -> line.contains(RELOAD) || line.contains(RELOAD_REFUSED));
    }

    private long countedAtDoor() {
        MeasuredServer.Reloads now = server.reloads();
        return now == null ? 0 : now.all();
    }

    private MeasuredServer.Reloads counted() throws IOException, InterruptedException {
        MeasuredServer.Reloads[] now = new MeasuredServer.Reloads[1];
        boolean answers = MeasuredServer.await(
                () -> {
                    now[0] = server.reloads();
                    return now[0] != null || !server.isAlive();
                },
                COUNTED_MS);
        if (!answers || now[0] == null) {
            throw new IOException("the operators' door does not answer");
        }
        return now[0];
    }
}
