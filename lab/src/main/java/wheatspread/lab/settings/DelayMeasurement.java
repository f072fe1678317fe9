package wheatspread.lab.settings;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;

/** What a server adds to the run time of a request at a steady rate. */
final class DelayMeasurement {
    /** The JVM compiles what a request needs meanwhile. */
    private static final long WARM_MS = 5_000;

    /** Odd, so that one of them is the median. */
    private static final int ROUNDS = 3;

    private DelayMeasurement() {}

    /**
     * Asks so often for {@code millis} in each of some rounds, after a while that does not count, and returns the
     * figures of the round with the median p99: on a machine with other work single rounds say little.
     */
    static JSONObject measure(LoadClients callers, double rate, long millis, List<String> faults)
            throws InterruptedException {
        callers.begin();
        callers.ask(rate);
        TimeUnit.MILLISECONDS.sleep(Math.min(WARM_MS, millis));
        List<Round> rounds = new ArrayList<>();
        for (int i = 0; i < ROUNDS; i++) {
            rounds.add(round(callers, millis));
        }
        int unanswered = callers.settle();
        long lateOrLost =
                rounds.stream().mapToLong(round -> round.answers.lateOrLost()).sum();
        if (lateOrLost > 0 || unanswered > 0) {
            faults.add(lateOrLost + " answers late or lost at a steady rate");
        }
        rounds.sort(Comparator.comparingDouble(Round::high));
        Round median = rounds.get(ROUNDS / 2);
        return median.answers
                .figures()
                .put("late_wakes_of_machine", median.wakes)
                .put("added_ms_p99_of_rounds", rounds.stream().map(Round::high).toList());
    }

    /** What was measured in one round, and how late threads woke meanwhile. */
    private record Round(AnswerTimes answers, JSONObject wakes) {
        double high() {
            return answers.addedMillis(99);
        }
    }

    private static Round round(LoadClients callers, long millis) throws InterruptedException {
        AnswerTimes answers = callers.begin();
        try (WakeProbe probe = new WakeProbe()) {
            TimeUnit.MILLISECONDS.sleep(millis);
            JSONObject wakes = new JSONObject().put("ms_p50", probe.millis(50)).put("ms_p99", probe.millis(99));
            return new Round(answers, wakes);
        }
    }
}
