package wheatspread.lab.settings;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.json.JSONObject;

/**
 * Measures the time that a server adds to a request while it holds others. The time for which a request is held is
 * due to the busy kernel and is excluded. The added time is the sum of three parts: a check from sending to answer,
 * the end of a run to the start of the next run, and the end of a run to its answer. The quantiles of the parts are
 * summed, which is usually no less than the quantile of the sum.
 */
final class HeldMeasurement {
    private static final long WARM_UP_MS = 3_000;
    private static final long SAMPLE_INTERVAL_MS = 20;
    private static final int MEDIAN_PERCENT = 50;
    private static final int HIGH_PERCENT = 99;

    private HeldMeasurement() {}

    /** Keeps {@code open} requests open for {@code millis}; the figure {@code held} is the mean of held requests. */
    static JSONObject measure(LoadClients clients, TimedKernel kernel, CheckProbe probe, int open, long millis)
            throws InterruptedException {
        clients.begin();
        clients.keepOpen(open);
        TimeUnit.MILLISECONDS.sleep(Math.min(WARM_UP_MS, millis));
        AnswerTimes answers = clients.begin();
        probe.reset();
        kernel.resetDispatchTimes();
        double held = measureMeanHeld(clients, kernel, millis);
        Histogram dispatchMicros = kernel.dispatchMicros();
        JSONObject checks = probe.figures();
        JSONObject figures = new JSONObject().put("open", open).put("held", held);
        for (int percent : List.of(MEDIAN_PERCENT, HIGH_PERCENT)) {
            double dispatch = dispatchMicros.getValueAtPercentile(percent) / 1e3;
            double afterRun = answers.afterRunMillis(percent);
            double check = probe.millis(percent);
            figures.put("dispatch_ms_p" + percent, dispatch)
                    .put("answer_ms_p" + percent, afterRun)
                    .put("check_ms_p" + percent, check)
                    .put("added_ms_p" + percent, dispatch + afterRun + check);
        }
        int unanswered = clients.stopAndAwaitAnswers();
        return figures.put("checks", checks)
                .put("answers", answers.figures())
                .put("unanswered_at_end", unanswered)
                .put("served_per_second", answers.served() * 1e3 / millis);
    }

    private static double measureMeanHeld(LoadClients clients, TimedKernel kernel, long millis)
            throws InterruptedException {
        long samples = millis / SAMPLE_INTERVAL_MS;
        double sum = 0;
        for (long i = 0; i < samples; i++) {
            TimeUnit.MILLISECONDS.sleep(SAMPLE_INTERVAL_MS);
            sum += Math.max(0, clients.openRequests() - kernel.runningRequests());
        }
        return sum / samples;
    }
}
