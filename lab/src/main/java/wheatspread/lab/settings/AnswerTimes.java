package wheatspread.lab.settings;

import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.json.JSONObject;
import wheatspread.lab.Sites;

/** Outcomes of the requests of one measurement interval, and the time the server added to the run time of each. */
final class AnswerTimes {
    private static final long MAX_MICROS = TimeUnit.MINUTES.toMicros(1);
    /**
     * A request is late if its answer arrives more than this time after its deadline; equals {@code AnswerSlack} of the
     * configuration that {@link Sites} generates.
     */
    private static final long ANSWER_SLACK_MS = 60;

    private final Histogram addedMicros = new Histogram(1, MAX_MICROS, 3);
    private final Histogram afterRun = new Histogram(1, MAX_MICROS, 3);
    private long requests;
    private long served;
    private long refused;
    private long failed;
    private long late;

    synchronized void recordRequest() {
        requests++;
    }

    /** Times are those of {@link System#nanoTime}; {@code run} is null if the kernel did not run the request. */
    synchronized void recordAnswer(
            long sentNanos, long answeredNanos, Sites.Kind kind, LoadClients.Outcome outcome, TimedKernel.Run run) {
        switch (outcome) {
            case SERVED -> served++;
            case REFUSED -> refused++;
            default -> failed++;
        }
        late += answeredNanos - sentNanos > TimeUnit.MILLISECONDS.toNanos(kind.deadlineMillis() + ANSWER_SLACK_MS)
                ? 1
                : 0;
        if (outcome == LoadClients.Outcome.SERVED && run != null) {
            addedMicros.recordValue(Math.max(1, (answeredNanos - sentNanos - run.nanos()) / 1_000));
            afterRun.recordValue(Math.max(1, (answeredNanos - run.endedNanos()) / 1_000));
        }
    }

    /**
     * Returns the number of requests that were answered late or not at all; valid once the clients have stopped and
     * awaited their answers.
     */
    synchronized long lateOrLost() {
        return late + requests - served - refused - failed;
    }

    synchronized long requests() {
        return requests;
    }

    synchronized long served() {
        return served;
    }

    /** Returns a quantile of the time from sending to answer, less the run time, in milliseconds. */
    synchronized double addedMillis(double percent) {
        return addedMicros.getValueAtPercentile(percent) / 1e3;
    }

    /** Returns a quantile of the time from the end of the run to the answer, in milliseconds. */
    synchronized double afterRunMillis(double percent) {
        return afterRun.getValueAtPercentile(percent) / 1e3;
    }

    synchronized JSONObject figures() {
        return new JSONObject()
                .put("asked", requests)
                .put("served", served)
                .put("refused", refused)
                .put("failed", failed)
                .put("late", late)
                .put("unanswered", requests - served - refused - failed)
                .put("added_ms_p50", addedMillis(50))
                .put("added_ms_p99", addedMillis(99))
                .put("added_ms_max", addedMicros.getMaxValue() / 1e3);
    }
}
