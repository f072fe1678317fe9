package wheatspread.core;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import wheatspread.admission.AdmissionRequest;

/** Tests attempts and their runs, with scripted decisions that the real controller never makes. */
class CoreTest {
    private static final long SECOND = CoreHarness.SECOND;

    private final CoreHarness harness = new CoreHarness();
    private final Core core = harness.core;

    /** Guards against passing a timeout that the client did not set, or a retry as a first attempt. */
    @Test
    void passesTheClientsTimeoutAndRetryMarkToTheController() {
        harness.submit("a", "k");
        core.submit(
                new InboundRequest(
                        "b",
                        0,
                        0,
                        harness.clock.nowMicros(),
                        harness.clock.nowMicros() + 9 * SECOND,
                        false,
                        true,
                        20,
                        0,
                        "m",
                        null,
                        new byte[0]),
                answer -> {});
        harness.settle();
        assertThat(harness.arrivals).extracting(AdmissionRequest::retry).containsExactly(false, true);
        assertThat(harness.arrivals.get(0).timeoutMicros()).isEqualTo(8 * SECOND);
        assertThat(harness.arrivals.get(1).timeoutMicros()).isZero();
    }

    @Test
    void keepsTicksAndDeadlinesAfterAnExceptionInTheController() {
        harness.decide(actions -> {
            throw new IllegalStateException("test failure");
        });
        harness.submit("a", "k");
        harness.settle();
        assertThat(harness.logLines)
                .containsExactly("decision_failed error=\"java.lang.IllegalStateException: test failure\"");
        harness.advance(60_000);
        assertThat(harness.controllerEvents).contains("timer");
        harness.advance(8 * SECOND);
        assertThat(harness.answers).containsExactly("a DEADLINE_EXCEEDED");
    }

    @Test
    void resumesASuspendedRunWithoutStartingANewOne() {
        harness.decide(actions -> actions.run(1));
        harness.submit("a", "k");
        harness.settle();
        harness.decide(actions -> {
            actions.preempt(1);
            actions.preempt(1);
        });
        harness.submit("b", "k2");
        harness.settle();
        core.onRunEnded("a", Kernel.End.STOPPED, 10, null);
        harness.decide(actions -> actions.run(1));
        harness.settle();
        assertThat(harness.kernelCommands).containsExactly("run a", "suspend a", "resume a");
        core.onRunEnded("a", Kernel.End.OK, 20, new byte[0]);
        core.onRunEnded("a", Kernel.End.OK, 20, new byte[0]);
        assertThat(harness.answers).containsExactly("a SERVED");
    }

    /** A client that closed its sending side gets an answer to each attempt; only those not started are rejected. */
    @Test
    void rejectsOnlyAttemptsNotStartedAfterTheClientClosedItsSendingSide() {
        harness.decide(actions -> actions.run(1));
        Long running = harness.submit("a", null);
        Long queued = harness.submit("b", null);
        harness.settle();
        core.rejectUnlessStarted(running);
        core.rejectUnlessStarted(queued);
        core.rejectUnlessStarted(queued);
        harness.settle();
        core.onRunEnded("a", Kernel.End.OK, 20, new byte[0]);
        assertThat(harness.answers).containsExactly("b REJECTED", "a SERVED");
    }
}
