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
        for (long now = from; now <= until; now = Math.max(now, watch.nextStepMicros())) {
            for (FailureDetector.Step step = watch.nextStep(now);
                    step != FailureDetector.Step.NOTHING;
                    step = watch.nextStep(now)) {
                steps.add(step + "@" + now / 1_000);
            }
        }
        return steps;
    }

    @Test
    void whoNeverAnswersIsReportedAfterTheLongestSuspicion() {
        List<String> steps = run(watch, 0, 3_700_000);
        assertThat(steps).containsSubsequence("PROBE@0", "PROBE_INDIRECTLY@300", "SUSPECT@700", "REPORT@3700");
        assertThat(watch.state()).isEqualTo(FailureDetector.State.DOWN);
    }

    @Test
    void suspicionsThatOthersShareEndSooner() {
        run(watch, 0, 700_000);
        long alone = watch.suspicionTimeoutMicros();
        watch.updateConfirmations(1, 9);
        long byOne = watch.suspicionTimeoutMicros();
        watch.updateConfirmations(7, 9);
        assertThat(watch.suspicionTimeoutMicros())
                .isEqualTo(USUAL.leastSuspicion())
                .isLessThan(byOne);
        assertThat(byOne).isLessThan(alone);
        assertThat(run(watch, 700_000, 1_700_000)).contains("REPORT@1700");
    }

    @Test
    void anAnswerEndsASuspicionAndTakesAReportBack() {
        run(watch, 0, 200_000);
        assertThat(watch.onAnswer()).as("nothing was said of it").isFalse();
        run(watch, 200_000, 2_000_000);
        assertThat(watch.state()).isEqualTo(FailureDetector.State.SUSPECT);
        assertThat(watch.onAnswer()).isTrue();
        assertThat(watch.state()).isEqualTo(FailureDetector.State.HEALTHY);
        run(watch, 2_000_000, 9_000_000);
        assertThat(watch.state()).isEqualTo(FailureDetector.State.DOWN);
        assertThat(watch.onAnswer()).isTrue();
    }

    @Test
    void oneThatWasStoppedAccusesNobodyWhenItWakes() {
        run(watch, 0, 100_000);
        assertThat(health.onLateTurn(5_000_000)).isTrue();
        watch.extendDeadlines(5_000_000);
        assertThat(run(watch, 5_100_000, 5_100_000)).isEmpty();
        assertThat(watch.state()).isEqualTo(FailureDetector.State.PROBING);
        // without that it would: the probe that was under way counts as missed at once
        FailureDetector naive = new FailureDetector(USUAL.suspicious(), new LocalHealth(USUAL.suspicious()), 0);
        run(naive, 0, 100_000);
        assertThat(run(naive, 5_100_000, 5_100_000)).contains("SUSPECT@5100");
    }

    @Test
    void whoDistrustsItselfWaitsLonger() {
        health.onLateTurn(600_000);
        assertThat(health.multiplier()).isEqualTo(2);
        assertThat(run(watch, 0, 7_400_000)).containsSubsequence("PROBE_INDIRECTLY@600", "SUSPECT@1400", "REPORT@7400");
        health.onProbeAnswered();
        assertThat(health.multiplier()).isEqualTo(1);
        assertThat(health.onLateTurn(1_000)).isFalse();
        for (int i = 0; i < 30; i++) {
            health.onProbeFailed(3, 0);
            health.onReported();
        }
        assertThat(health.multiplier()).as("a bound").isEqualTo(1 + USUAL.worstHealth());
    }

    @Test
    void plainSwimReportsTheFirstProbeThatFails() {
        FailureDetector plain = new FailureDetector(USUAL.plain(), new LocalHealth(USUAL.plain()), 0);
        assertThat(run(plain, 0, 700_000)).contains("REPORT@700");
    }
}
