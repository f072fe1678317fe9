package wheatspread.lab.settings;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;

/** What a server adds to the run time of a request at a steady rate. */
final class DelayMeasurement {
    /** The JVM compiles what a request needs meanwhile. */
    private static final long WARM_MS = 5_000;

    private DelayMeasurement() {}

    /** Asks so often for so long, after a while that does not count. */
    static JSONObject measure(Callers callers, double rate, long millis, List<String> faults)
            throws InterruptedException {
        callers.begin();
        callers.ask(rate);
        TimeUnit.MILLISECONDS.sleep(Math.min(WARM_MS, millis));
        AnswerTimes answers = callers.begin();
        JSONObject wakes = new JSONObject();
        try (WakeProbe probe = new WakeProbe()) {
            TimeUnit.MILLISECONDS.sleep(millis);
            wakes.put("ms_p50", probe.millis(50)).put("ms_p99", probe.millis(99));
        }
        int unanswered = callers.settle();
        if (answers.lateOrLost() > 0 || unanswered > 0) {
            faults.add(answers.lateOrLost() + " answers late or lost at a steady rate");
        }
        return answers.figures().put("late_wakes_of_machine", wakes);
    }
}
