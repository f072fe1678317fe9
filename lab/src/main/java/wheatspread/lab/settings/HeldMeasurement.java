package wheatspread.lab.settings;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.json.JSONObject;

/**
 * What a server adds while it holds requests. The time for which a request is held belongs to the kernel that is
 * busy, so it is left out: added is what a check takes from sending to answer, and from the end of a run to the next
 * run, and from the end of a run to its answer. The quantiles of these three are summed, which is no less than the
 * quantile of their sum would usually be.
 */
final class HeldMeasurement {
    private static final long WARM_MS = 3_000;
    private static final long LOOK_MS = 20;
    private static final int MEDIAN = 50;
    private static final int HIGH = 99;

    private HeldMeasurement() {}

    /** Keeps so many requests open for so long; {@code held} in the figures is the mean of what was held. */
    static JSONObject measure(LoadClients callers, TimedKernel kernel, CheckProbe probe, int open, long millis)
            throws InterruptedException {
        callers.begin();
        callers.keepOpen(open);
        TimeUnit.MILLISECONDS.sleep(Math.min(WARM_MS, millis));
        AnswerTimes answers = callers.begin();
        probe.begin();
        kernel.beginDispatches();
        double held = meanHeld(callers, kernel, millis);
        Histogram dispatches = kernel.dispatches();
        JSONObject checks = probe.figures();
        JSONObject figures = new JSONObject().put("open", open).put("held", held);
        for (int percent : List.of(MEDIAN, HIGH)) {
            double dispatch = dispatches.getValueAtPercentile(percent) / 1e3;
            double afterRun = answers.afterRunMillis(percent);
            double check = probe.millis(percent);
            figures.put("dispatch_ms_p" + percent, dispatch)
                    .put("answer_ms_p" + percent, afterRun)
                    .put("check_ms_p" + percent, check)
                    .put("added_ms_p" + percent, dispatch + afterRun + check);
        }
        int unanswered = callers.settle();
        return figures.put("checks", checks)
                .put("answers", answers.figures())
                .put("unanswered_at_end", unanswered)
                .put("served_per_second", answers.served() * 1e3 / millis);
    }

    private static double meanHeld(LoadClients callers, TimedKernel kernel, long millis) throws InterruptedException {
        long looks = millis / LOOK_MS;
        double sum = 0;
        for (long i = 0; i < looks; i++) {
            TimeUnit.MILLISECONDS.sleep(LOOK_MS);
            sum += Math.max(0, callers.open() - kernel.running());
        }
        return sum / looks;
    }
}
