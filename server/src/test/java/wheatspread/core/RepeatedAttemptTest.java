package wheatspread.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import wheatspread.admission.Idempotency;

/** Guards against two runs of an attempt that comes again and has no idempotency key by which it is recognized. */
class RepeatedAttemptTest {
    private static final long SECOND = CoreHarness.SECOND;
    /** The deadline of the harness's request class. */
    private static final long DEADLINE_MICROS = 9 * SECOND;

    private final CoreHarness harness = new CoreHarness(Idempotency.AT_MOST_ONCE);

    private static void submitAndRun(CoreHarness target, long expectedId) {
        target.decide(actions -> actions.run(expectedId));
        target.submit("a", null);
        target.settle();
    }

    @Test
    void attemptThatComesAgainAfterItsClientHasLeftRunsOnce() {
        submitAndRun(harness, 1);
        harness.core.cancel(1L);
        harness.core.onRunEnded("a", Kernel.End.OK, 5, new byte[0]);
        harness.settle();
        submitAndRun(harness, 2);
        assertThat(harness.answers).containsExactly("a CONFLICT");
        assertThat(harness.kernelCommands).containsOnlyOnce("run a");
        assertThat(harness.core.counters().logFields()).contains("repeated", 1L);
    }

    @Test
    void attemptThatComesAgainAtTheOtherProcessOfAnUpgradeRunsOnce() {
        Set<String> claimedKeys = new HashSet<>();
        IdempotencyClaims claims = (key, arrivalMicros, windowMicros) -> claimedKeys.add(key);
        CoreHarness otherProcess = new CoreHarness(Idempotency.AT_MOST_ONCE);
        harness.core.shareIdempotencyClaims(claims);
        otherProcess.core.shareIdempotencyClaims(claims);
        submitAndRun(harness, 1);
        submitAndRun(otherProcess, 1);
        assertThat(harness.kernelCommands).contains("run a");
        assertThat(otherProcess.kernelCommands).doesNotContain("run a");
        assertThat(otherProcess.answers).containsExactly("a CONFLICT");
    }

    @Test
    void attemptThatNeverRanMayComeAgain() {
        harness.decide(actions -> actions.reject(1, 0, false));
        harness.submit("a", null);
        harness.settle();
        submitAndRun(harness, 2);
        assertThat(harness.answers).containsExactly("a REJECTED");
        assertThat(harness.kernelCommands).contains("run a");
    }

    /** Guards against memory that grows with the number of attempts. */
    @Test
    void startedAttemptsAreBoundedInNumberAndTime() {
        StartedAttempts started = new StartedAttempts();
        for (int i = 0; i <= StartedAttempts.MAX_IDS; i++) {
            started.add("job-" + i, SECOND, DEADLINE_MICROS);
        }
        assertThat(started.size()).isEqualTo(StartedAttempts.MAX_IDS);
        assertThat(started.dropped()).isOne();
        assertThat(started.contains("job-0", SECOND)).isFalse();
        assertThat(started.contains("job-1", SECOND + DEADLINE_MICROS)).isTrue();
        started.add("last", 2 * SECOND + DEADLINE_MICROS, DEADLINE_MICROS);
        assertThat(started.size()).isOne();
    }
}
