package wheatspread.lab.settings;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;

/** Measures the time that a server adds to the run time of a request at a steady rate. */
final class DelayMeasurement {
    /** Lets the JVM compile the code on the path of a request. */
    private static final long WARM_UP_MS = 5_000;

    /** An odd number, so that one round is the median. */
    private static final int ROUNDS = 3;

    private DelayMeasurement() {}

    /**
     * Sends {@code rate} requests a second for {@code millis} in each round, after a warm-up that is not measured.
     * Returns the figures of the round with the median p99, because a single round says little on a machine with other
     * work.
     */
    static JSONObject measure(LoadClients clients, double rate, long millis, List<String> faults)
            throws InterruptedException {
        clients.begin();
        clients.sendAtRate(rate);
        TimeUnit.MILLISECONDS.sleep(Math.min(WARM_UP_MS, millis));
        List<Round> rounds = new ArrayList<>();
        for (int i = 0; i < ROUNDS; i++) {
            rounds.add(measureRound(clients, millis));
        }
        int unanswered = clients.stopAndAwaitAnswers();
        long lateOrLost =
                rounds.stream().mapToLong(round -> round.answers.lateOrLost()).sum();
        if (lateOrLost > 0 || unanswered > 0) {
            faults.add(lateOrLost + " answers late or lost at a steady rate");
        }
        rounds.sort(Comparator.comparingDouble(Round::p99Millis));
        Round median = rounds.get(ROUNDS / 2);
        return median.answers
                .figures()
                .put("late_wakes_of_machine", median.wakes)
                .put(
                        "added_ms_p99_of_rounds",
                        rounds.stream().map(Round::p99Millis).toList());
    }

    /** The answer times of one round, and how late threads woke during the round. */
    private record Round(AnswerTimes answers, JSONObject wakes) {
        double p99Millis() {
            return answers.addedMillis(99);
        }
    }

    private static Round measureRound(LoadClients clients, long millis) throws InterruptedException {
        AnswerTimes answers = clients.begin();
        try (WakeProbe probe = new WakeProbe()) {
            TimeUnit.MILLISECONDS.sleep(millis);
            JSONObject wakes = new JSONObject().put("ms_p50", probe.millis(50)).put("ms_p99", probe.millis(99));
            return new Round(answers, wakes);
        }
    }
}
