package wheatspread.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the state of a subject that answers, does not answer or answers late, and the observer's local health. */
class FailureDetectorTest {
    private static final DetectorSettings SETTINGS = DetectorSettings.DEFAULT;
    private final LocalHealth health = new LocalHealth(SETTINGS);
    private final FailureDetector detector = new FailureDetector(SETTINGS, health, 0);

    /** Runs the detector for a period and returns its steps with their times in milliseconds. */
    private static List<String> run(FailureDetector detector, long startMicros, long endMicros) {
        List<String> steps = new ArrayList<>();
        for (long nowMicros = startMicros;
                nowMicros <= endMicros;
                nowMicros = Math.max(nowMicros, detector.nextStepMicros())) {
            for (FailureDetector.Step step = detector.advance(nowMicros);
                    step != FailureDetector.Step.NOTHING;
                    step = detector.advance(nowMicros)) {
                steps.add(step + "@" + nowMicros / 1_000);
            }
        }
        return steps;
    }

    @Test
    void silentSubjectIsReportedAfterTheLongestSuspicion() {
        List<String> steps = run(detector, 0, 3_700_000);
        assertThat(steps).containsSubsequence("PROBE@0", "PROBE_INDIRECTLY@300", "SUSPECT@700", "REPORT@3700");
        assertThat(detector.state()).isEqualTo(FailureDetector.State.DOWN);
    }

    @Test
    void confirmedSuspicionsEndSooner() {
        run(detector, 0, 700_000);
        long unconfirmed = detector.suspicionTimeoutMicros();
        detector.updateConfirmations(1, 9);
        long confirmedByOne = detector.suspicionTimeoutMicros();
        detector.updateConfirmations(7, 9);
        assertThat(detector.suspicionTimeoutMicros())
                .isEqualTo(SETTINGS.minSuspicionMicros())
                .isLessThan(confirmedByOne);
        assertThat(confirmedByOne).isLessThan(unconfirmed);
        assertThat(run(detector, 700_000, 1_700_000)).contains("REPORT@1700");
    }

    @Test
    void answerEndsASuspicionAndWithdrawsAReport() {
        run(detector, 0, 200_000);
        assertThat(detector.onAnswer()).as("no suspicion was published").isFalse();
        run(detector, 200_000, 2_000_000);
        assertThat(detector.state()).isEqualTo(FailureDetector.State.SUSPECT);
        assertThat(detector.onAnswer()).isTrue();
        assertThat(detector.state()).isEqualTo(FailureDetector.State.HEALTHY);
        run(detector, 2_000_000, 9_000_000);
        assertThat(detector.state()).isEqualTo(FailureDetector.State.DOWN);
        assertThat(detector.onAnswer()).isTrue();
    }

    @Test
    void suspendedObserverSuspectsNoSubjectWhenItResumes() {
        run(detector, 0, 100_000);
        assertThat(health.onLateTurn(5_000_000)).isTrue();
        detector.extendDeadlines(5_000_000);
        assertThat(run(detector, 5_100_000, 5_100_000)).isEmpty();
        assertThat(detector.state()).isEqualTo(FailureDetector.State.PROBING);
        // without extended deadlines the probe in progress fails at once and leads to a suspicion
        FailureDetector withoutExtension =
                new FailureDetector(SETTINGS.withFixedSuspicion(), new LocalHealth(SETTINGS.withFixedSuspicion()), 0);
        run(withoutExtension, 0, 100_000);
        assertThat(run(withoutExtension, 5_100_000, 5_100_000)).contains("SUSPECT@5100");
    }

    @Test
    void poorLocalHealthLengthensTimeouts() {
        health.onLateTurn(600_000);
        assertThat(health.multiplier()).isEqualTo(2);
        assertThat(run(detector, 0, 7_400_000))
                .containsSubsequence("PROBE_INDIRECTLY@600", "SUSPECT@1400", "REPORT@7400");
        health.onProbeAnswered();
        assertThat(health.multiplier()).isEqualTo(1);
        assertThat(health.onLateTurn(1_000)).isFalse();
        for (int i = 0; i < 30; i++) {
            health.onProbeFailed(3, 0);
            health.onReported();
        }
        assertThat(health.multiplier()).as("highest multiplier").isEqualTo(1 + SETTINGS.maxHealthScore());
    }

    @Test
    void plainSwimReportsAfterTheFirstFailedProbe() {
        FailureDetector plain =
                new FailureDetector(SETTINGS.withoutSuspicion(), new LocalHealth(SETTINGS.withoutSuspicion()), 0);
        assertThat(run(plain, 0, 700_000)).contains("REPORT@700");
    }
}
