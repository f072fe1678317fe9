package wheatspread.lab.settings;

import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.json.JSONObject;
import wheatspread.lab.Sites;

/** What became of the requests of one stretch of time, and what the server added to the run time of each. */
final class AnswerTimes {
    private static final long LONGEST_MICROS = TimeUnit.MINUTES.toMicros(1);
    /** An answer may come so much after a request's limit, by the rules of the generated site. */
    private static final long SLACK_MS = 60;

    private final Histogram added = new Histogram(1, LONGEST_MICROS, 3);
    private final Histogram afterRun = new Histogram(1, LONGEST_MICROS, 3);
    private long asked;
    private long served;
    private long refused;
    private long failed;
    private long late;

    synchronized void asked() {
        asked++;
    }

    /** Times are those of {@link System#nanoTime}; {@code run} is null where the kernel did not run it. */
    synchronized void answered(long sent, long now, Sites.Kind kind, LoadClients.Outcome outcome, TimedKernel.Run run) {
        switch (outcome) {
            case SERVED -> served++;
            case REFUSED -> refused++;
            default -> failed++;
        }
        late += now - sent > TimeUnit.MILLISECONDS.toNanos(kind.deadline() + SLACK_MS) ? 1 : 0;
        if (outcome == LoadClients.Outcome.SERVED && run != null) {
            added.recordValue(Math.max(1, (now - sent - run.nanos()) / 1_000));
            afterRun.recordValue(Math.max(1, (now - run.ended()) / 1_000));
        }
    }

    /** Requests that got no answer, or one after their time; to be asked when the callers have settled. */
    synchronized long lateOrLost() {
        return late + asked - served - refused - failed;
    }

    synchronized long asks() {
        return asked;
    }

    synchronized long served() {
        return served;
    }

    /** A quantile of the time from sending to answer without the run, in milliseconds. */
    synchronized double addedMillis(double percent) {
        return added.getValueAtPercentile(percent) / 1e3;
    }

    /** A quantile of the time from the end of the run to the answer, in milliseconds. */
    synchronized double afterRunMillis(double percent) {
        return afterRun.getValueAtPercentile(percent) / 1e3;
    }

    synchronized JSONObject figures() {
        return new JSONObject()
                .put("asked", asked)
                .put("served", served)
                .put("refused", refused)
                .put("failed", failed)
                .put("late", late)
                .put("unanswered", asked - served - refused - failed)
                .put("added_ms_p50", addedMillis(50))
                .put("added_ms_p99", addedMillis(99))
                .put("added_ms_max", added.getMaxValue() / 1e3);
    }
}
