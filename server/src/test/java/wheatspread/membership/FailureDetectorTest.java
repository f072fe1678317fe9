package wheatspread.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What one member makes of another that answers, does not, or answers late; and of itself. */
class FailureDetectorTest {
    private static final DetectorSettings USUAL = DetectorSettings.USUAL;
    private final LocalHealth health = new LocalHealth(USUAL);
    private final FailureDetector watch = new FailureDetector(USUAL, health, 0);

    /** All steps until then, with their times in milliseconds. */
    private static List<String> run(FailureDetector watch, long from, long until) {
        List<String> steps = new ArrayList<>();
        for (long now = from; now <= until; now = Math.max(now, watch.nextAt())) {
            for (FailureDetector.Step step = watch.step(now);
                    step != FailureDetector.Step.NOTHING;
                    step = watch.step(now)) {
                steps.add(step + "@" + now / 1_000);
            }
        }
        return steps;
    }

    @Test
    void whoNeverAnswersIsReportedAfterTheLongestSuspicion() {
        List<String> steps = run(watch, 0, 3_700_000);
        assertThat(steps).containsSubsequence("PROBE@0", "ASK_AROUND@300", "SUSPECT@700", "REPORT@3700");
        assertThat(watch.state()).isEqualTo(FailureDetector.State.DOWN);
    }

    @Test
    void suspicionsThatOthersShareEndSooner() {
        run(watch, 0, 700_000);
        long alone = watch.suspicion();
        watch.sharedBy(1, 9);
        long byOne = watch.suspicion();
        watch.sharedBy(7, 9);
        assertThat(watch.suspicion()).isEqualTo(USUAL.leastSuspicion()).isLessThan(byOne);
        assertThat(byOne).isLessThan(alone);
        assertThat(run(watch, 700_000, 1_700_000)).contains("REPORT@1700");
    }

    @Test
    void anAnswerEndsASuspicionAndTakesAReportBack() {
        run(watch, 0, 200_000);
        assertThat(watch.answered()).as("nothing was said of it").isFalse();
        run(watch, 200_000, 2_000_000);
        assertThat(watch.state()).isEqualTo(FailureDetector.State.SUSPECT);
        assertThat(watch.answered()).isTrue();
        assertThat(watch.state()).isEqualTo(FailureDetector.State.WELL);
        run(watch, 2_000_000, 9_000_000);
        assertThat(watch.state()).isEqualTo(FailureDetector.State.DOWN);
        assertThat(watch.answered()).isTrue();
    }

    @Test
    void oneThatWasStoppedAccusesNobodyWhenItWakes() {
        run(watch, 0, 100_000);
        assertThat(health.turned(5_000_000)).isTrue();
        watch.stoppedFor(5_000_000);
        assertThat(run(watch, 5_100_000, 5_100_000)).isEmpty();
        assertThat(watch.state()).isEqualTo(FailureDetector.State.ASKED);
        // without that it would: the probe that was under way counts as missed at once
        FailureDetector naive = new FailureDetector(USUAL.suspicious(), new LocalHealth(USUAL.suspicious()), 0);
        run(naive, 0, 100_000);
        assertThat(run(naive, 5_100_000, 5_100_000)).contains("SUSPECT@5100");
    }

    @Test
    void whoDistrustsItselfWaitsLonger() {
        health.turned(600_000);
        assertThat(health.times()).isEqualTo(2);
        assertThat(run(watch, 0, 7_400_000)).containsSubsequence("ASK_AROUND@600", "SUSPECT@1400", "REPORT@7400");
        health.answered();
        assertThat(health.times()).isEqualTo(1);
        assertThat(health.turned(1_000)).isFalse();
        for (int i = 0; i < 30; i++) {
            health.missed(3, 0);
            health.accused();
        }
        assertThat(health.times()).as("a bound").isEqualTo(1 + USUAL.worstHealth());
    }

    @Test
    void plainSwimReportsTheFirstProbeThatFails() {
        FailureDetector plain = new FailureDetector(USUAL.plain(), new LocalHealth(USUAL.plain()), 0);
        assertThat(run(plain, 0, 700_000)).contains("REPORT@700");
    }
}
