package wheatspread.core;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests which attempts the core runs and how it answers them while the server drains. */
class CoreDrainTest {
    private static final long SECOND = CoreHarness.SECOND;

    private final CoreHarness harness = new CoreHarness();
    private final Core core = harness.core;

    @Test
    void answerAllFailsAttemptsThatRanAndRejectsOthers() {
        harness.decide(actions -> actions.run(1));
        harness.submit("a", "k");
        harness.settle();
        harness.submit("b", "m");
        harness.settle();
        assertThat(core.inFlight()).isEqualTo(new Core.InFlightCounts(1, 1, 0, 0, 0));
        core.answerAll();
        assertThat(harness.answers).containsExactly("a FAILED", "b REJECTED");
        assertThat(core.unansweredCount()).isZero();
    }

    @Test
    void rejectsAttemptsThatArriveAfterTheGrace() {
        core.drain(harness.clock.nowMicros(), 10 * SECOND);
        harness.advance(5 * SECOND / 2 + 1);
        harness.decide(actions -> actions.run(1));
        harness.submit("a", "k");
        harness.settle();
        assertThat(harness.kernelCommands).isEmpty();
        assertThat(harness.answers).containsExactly("a REJECTED");
    }

    /** The first byte arrived within the grace; the arrival of the last byte, when it is read, decides. */
    @Test
    void rejectsAttemptsWhoseLastByteArrivesAfterTheGrace() {
        core.drain(harness.clock.nowMicros(), 10 * SECOND);
        long arrivalMicros = harness.clock.nowMicros() + 5 * SECOND / 2 - 1;
        harness.advance(5 * SECOND / 2 + 1);
        harness.decide(actions -> actions.run(1));
        harness.submit("a", null, arrivalMicros);
        harness.settle();
        assertThat(harness.kernelCommands).isEmpty();
        assertThat(harness.answers).containsExactly("a REJECTED");
    }

    /** The event loop may read the shutdown notice late; the grace starts at the notice. */
    @Test
    void measuresTheGraceFromTheShutdownNotice() {
        long noticeMicros = harness.clock.nowMicros();
        harness.advance(SECOND);
        core.drain(noticeMicros, 10 * SECOND);
        harness.advance(3 * SECOND / 2 + 1);
        harness.decide(actions -> actions.run(1));
        harness.submit("a", null);
        harness.settle();
        assertThat(harness.kernelCommands).isEmpty();
        assertThat(harness.answers).containsExactly("a REJECTED");
    }
}
