package wheatspread.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that of all attempts with one idempotency key at most one runs within the window of the key. */
class CoreIdempotencyTest {
    private static final long SECOND = CoreHarness.SECOND;

    private final CoreHarness harness = new CoreHarness();
    private final Core core = harness.core;

    /** Guards against a second run for a key whose first run the kernel suspended and then did not resume. */
    @Test
    void keepsTheKeyOfASuspendedRunThatIsNotResumed() {
        harness.decide(actions -> actions.run(1));
        harness.submit("a", "k");
        harness.settle();
        core.onRunEnded("a", Kernel.End.STOPPED, 5, null);
        harness.decide(actions -> actions.run(1));
        harness.settle();
        core.onRunEnded("a", Kernel.End.IGNORED, 0, null);
        harness.settle();
        harness.decide(actions -> actions.run(2));
        harness.submit("b", "k");
        harness.settle();
        assertThat(harness.answers).startsWith("a FAILED");
        assertThat(harness.kernelCommands).doesNotContain("run b").anyMatch(line -> line.startsWith("run a"));
    }

    /** Guards against an attempt whose lost run is never ended, and against a second run of its key. */
    @Test
    void failsAnAttemptWhoseRunIsUncertainAtItsObjectiveAndKeepsItsKey() {
        harness.decide(actions -> actions.run(1));
        harness.submit("a", "k");
        harness.settle();
        core.onRunUncertain("a");
        harness.advance(3 * SECOND - 1);
        assertThat(harness.answers).isEmpty();
        harness.advance(1);
        assertThat(harness.answers).containsExactly("a FAILED");
        assertThat(harness.controllerEvents).contains("completed 1 CANCELED 0");
        harness.decide(actions -> actions.run(2));
        harness.submit("b", "k");
        harness.settle();
        core.onRunEnded("a", Kernel.End.OK, 5, new byte[0]);
        assertThat(harness.answers).containsExactly("a FAILED", "b FAILED");
        assertThat(harness.kernelCommands).containsExactly("run a");
    }

    @Test
    void servesAnAttemptWhoseUncertainRunIsReportedInTime() {
        harness.decide(actions -> actions.run(1));
        harness.submit("a", "k");
        harness.settle();
        core.onRunUncertain("a");
        core.onDependencyCallRequested("a", 1, new byte[0]);
        harness.advance(4 * SECOND);
        core.onRunEnded("a", Kernel.End.OK, 5, new byte[0]);
        assertThat(harness.answers).containsExactly("a SERVED");
    }

    @Test
    void runsADuplicateWhoseFirstAttemptIsRejectedInTheSameBatch() {
        harness.decide(actions -> {
            actions.reject(1, 0, false);
            actions.retainKey(2, 20 * SECOND);
            actions.run(2);
        });
        harness.submit("a", "k");
        harness.submit("b", "k");
        harness.settle();
        assertThat(harness.answers).containsExactly("a REJECTED");
        assertThat(harness.kernelCommands).containsExactly("run b");
    }

    /** Two duplicates wait for an attempt that is rejected: the first duplicate runs, the second gets its result. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void sharesOneRunAmongDuplicatesWhoseFirstAttemptIsRejectedInTheSameBatch(boolean retained) {
        harness.decide(actions -> {
            actions.reject(1, 0, false);
            if (retained) {
                actions.retainKey(2, 20 * SECOND);
                actions.retainKey(3, 20 * SECOND);
            }
            actions.run(2);
            actions.run(3);
        });
        harness.submit("a", "k");
        harness.submit("b", "k");
        harness.submit("c", "k");
        harness.settle();
        assertThat(harness.kernelCommands).containsExactly("run b");
        assertThat(harness.answers).containsExactly("a REJECTED");
        core.onRunEnded("b", Kernel.End.OK, 20, new byte[0]);
        harness.settle();
        Long retry = harness.submit("d", "k");
        harness.decide(actions -> actions.run(retry));
        harness.settle();
        assertThat(harness.kernelCommands).containsExactly("run b");
        assertThat(harness.answers).containsExactly("a REJECTED", "b SERVED", "c SERVED", "d SERVED");
    }

    @Test
    void neitherRunsNorRejectsRetryAfterFirstAttemptRan() {
        harness.decide(actions -> actions.run(1));
        harness.submit("a", "k");
        harness.settle();
        harness.decide(actions -> {
            actions.releaseKey(1);
            actions.run(2);
        });
        harness.submit("b", "k");
        harness.settle();
        assertThat(harness.kernelCommands).containsExactly("run a");
        assertThat(harness.answers)
                .as("an attempt with the key ran, so its duplicate is not rejected")
                .isEmpty();
        harness.decide(actions -> actions.reject(1, 0, false));
        harness.submit("c", "k2");
        harness.settle();
        assertThat(harness.answers).as("no rejection after a run").containsExactly("a FAILED");
        core.onRunEnded("a", Kernel.End.OK, 20, new byte[0]);
        harness.settle();
        assertThat(harness.kernelCommands).containsExactly("run a");
        assertThat(harness.answers).containsExactly("a FAILED", "b SERVED");
    }

    /** During an upgrade two processes of one server share their claims. */
    @Test
    void rejectsAttemptWhoseKeyAnotherProcessClaimed() {
        List<String> claimed = new ArrayList<>();
        core.shareIdempotencyClaims((key, arrivalMicros, windowMicros) -> {
            claimed.add(key + " " + windowMicros);
            return !key.endsWith(" k");
        });
        harness.decide(actions -> actions.run(1));
        harness.submit("a", "k");
        harness.settle();
        harness.decide(actions -> actions.run(2));
        harness.submit("b", "k2");
        harness.settle();
        assertThat(harness.kernelCommands).containsExactly("run b");
        assertThat(harness.answers).containsExactly("a REJECTED");
        assertThat(claimed).hasSize(2).allMatch(claim -> claim.endsWith(" 20050000"));
    }

    /** The socket slack extends the window by 50 ms; a retry in that time gets the first result. */
    @Test
    void runsSecondAttemptOnlyAfterWindowAndSocketSlack() {
        harness.decide(actions -> actions.run(1));
        harness.submit("a", "k");
        harness.settle();
        core.onRunEnded("a", Kernel.End.OK, 20, new byte[0]);
        long arrivalMicros = harness.clock.nowMicros();
        for (long offsetMicros : new long[] {-1, 0, 1, 50_000}) {
            harness.advance(arrivalMicros + 20 * SECOND + offsetMicros - harness.clock.nowMicros());
            Long retry = harness.submit("b" + offsetMicros, "k");
            harness.decide(actions -> actions.joinResult(retry));
            harness.settle();
        }
        assertThat(harness.kernelCommands).containsExactly("run a");
        assertThat(harness.answers)
                .containsExactly("a SERVED", "b-1 SERVED", "b0 SERVED", "b1 SERVED", "b50000 SERVED");
        harness.advance(1);
        Long afterWindow = harness.submit("c", "k");
        harness.decide(actions -> actions.run(afterWindow));
        harness.settle();
        assertThat(harness.kernelCommands).containsExactly("run a", "run c");
    }

    /** The reported time ends at the batch that reports it, not at the owner's rejection. */
    @Test
    void reportsTheWaitOfAJoinerWhoseOwnerNeverRan() {
        harness.decide(actions -> actions.joinResult(2));
        Long owner = harness.submit("a", "k");
        harness.submit("b", "k");
        harness.settle();
        harness.clock.advanceWithoutFiring(2_000);
        core.rejectUnlessStarted(owner);
        harness.clock.advanceWithoutFiring(500);
        harness.settle();
        assertThat(harness.answers).containsExactly("a REJECTED", "b REJECTED");
        assertThat(harness.controllerEvents).containsExactly("completed 2 FAILED 2500");
    }
}
