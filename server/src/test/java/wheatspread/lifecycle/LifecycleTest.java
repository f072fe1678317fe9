package wheatspread.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import wheatspread.lifecycle.Lifecycle.Event;
import wheatspread.lifecycle.Lifecycle.Phase;

class LifecycleTest {
    private final List<String> enteredPhases = new ArrayList<>();
    private final Lifecycle lifecycle = new Lifecycle((from, to, by) -> enteredPhases.add(to.storedName()));

    /** The names appear in the log and in the answer to {@code stats}, and must not change. */
    @Test
    void phasesAndEventsKeepTheirStoredNames() {
        assertThat(Stream.of(Phase.values()).map(Phase::storedName))
                .containsExactly(
                        "NEW",
                        "REHEARSING",
                        "BINDING",
                        "RETREATING",
                        "WAITING",
                        "SERVING",
                        "DRAINING",
                        "CLOSING",
                        "STOPPED");
        assertThat(Stream.of(Event.values()).map(Event::storedName))
                .containsExactly(
                        "START",
                        "REHEARSED",
                        "BOUND",
                        "BIND_FAILED",
                        "KERNEL_UP",
                        "KERNEL_GIVEN_UP",
                        "NOTICE",
                        "HURRY",
                        "RELOAD",
                        "EMPTY",
                        "TIME_UP",
                        "CLOSED");
    }

    /** Guards against a signal that is not handled in some phase, and against an event that restarts a process. */
    @Test
    void signalsAreAllowedInEveryPhaseAndNoEventLeadsToAnEarlierPhase() {
        for (Phase phase : Phase.values()) {
            for (Event signal : Set.of(Event.DRAIN, Event.DRAIN_IMMEDIATELY, Event.RELOAD)) {
                Phase next = Lifecycle.next(phase, signal);
                assertThat(next).as("%s in %s", signal, phase).isNotNull().isGreaterThanOrEqualTo(phase);
                assertThat(signal == Event.RELOAD && next != phase).isFalse();
            }
            for (Event event : Event.values()) {
                Phase next = Lifecycle.next(phase, event);
                assertThat(next == null || next.compareTo(phase) >= 0)
                        .as("%s in %s", event, phase)
                        .isTrue();
            }
        }
    }

    /** Follows every event that can occur after a drain signal, starting in each phase. */
    @Test
    void fromEveryPhaseADrainSignalLeadsToStoppedAndNeverToServing() {
        Map<Phase, Set<Phase>> successors = new EnumMap<>(Phase.class);
        for (Phase phase : Phase.values()) {
            Set<Phase> reached = EnumSet.noneOf(Phase.class);
            for (Event event : Event.values()) {
                if (Lifecycle.next(phase, event) != null) {
                    reached.add(Lifecycle.next(phase, event));
                }
            }
            successors.put(phase, reached);
        }
        for (Phase phase : Phase.values()) {
            Set<Phase> seen = EnumSet.of(Lifecycle.next(phase, Event.DRAIN));
            for (int i = 0; i < Phase.values().length; i++) {
                for (Phase seenPhase : EnumSet.copyOf(seen)) {
                    seen.addAll(successors.get(seenPhase));
                }
            }
            assertThat(seen)
                    .as("after a drain signal in %s", phase)
                    .contains(Phase.STOPPED)
                    .doesNotContain(Phase.SERVING);
        }
    }

    @Test
    void servesOnceBoundIfTheKernelIsReadyBefore() {
        for (Event event : List.of(Event.START, Event.WARMED_UP, Event.KERNEL_READY, Event.BOUND, Event.RELOAD)) {
            lifecycle.handle(event);
        }
        assertThat(lifecycle.phase()).isEqualTo(Phase.SERVING);
        assertThat(lifecycle.isStopping()).isFalse();
        assertThat(lifecycle.handle(Event.DRAIN)).isTrue();
        assertThat(lifecycle.handle(Event.DRAIN)).isFalse();
        lifecycle.handle(Event.ALL_ANSWERED);
        lifecycle.handle(Event.CLOSED);
        assertThat(enteredPhases).containsExactly("REHEARSING", "BINDING", "SERVING", "DRAINING", "CLOSING", "STOPPED");
        assertThat(lifecycle.exitCode()).isZero();
        assertThatThrownBy(() -> lifecycle.handle(Event.START))
                .isInstanceOf(IllegalStateException.class)
                .hasMessage("START cannot happen in phase STOPPED");
    }

    @Test
    void exitsAsUnavailableAfterFailedBindOrKernelTimeout() {
        lifecycle.handle(Event.START);
        lifecycle.handle(Event.WARMED_UP);
        lifecycle.handle(Event.DRAIN);
        assertThat(lifecycle.phase()).isEqualTo(Phase.CANCELLING_START);
        lifecycle.handle(Event.BIND_FAILED);
        assertThat(lifecycle.exitCode()).isEqualTo(Lifecycle.EXIT_UNAVAILABLE);
        Lifecycle timedOutLifecycle = new Lifecycle((from, to, by) -> {});
        timedOutLifecycle.handle(Event.START);
        timedOutLifecycle.handle(Event.WARMED_UP);
        timedOutLifecycle.handle(Event.BOUND);
        timedOutLifecycle.handle(Event.KERNEL_TIMED_OUT);
        assertThat(timedOutLifecycle.phase()).isEqualTo(Phase.DRAINING);
        assertThat(timedOutLifecycle.exitCode()).isEqualTo(Lifecycle.EXIT_UNAVAILABLE);
    }

    @Test
    void drainAcceptsDuringTheGraceThenAwaitsAnswersAndClosesBeforeTheStop() {
        DrainDeadlines drain = new DrainDeadlines(0, 4_000_000, 2_500_000, true);
        assertThat(drain.step(2_499_999, 0)).isEqualTo(DrainDeadlines.Step.ACCEPT);
        assertThat(drain.step(2_500_000, 0)).isEqualTo(DrainDeadlines.Step.AWAIT_ANSWERS); // reads the last connections
        assertThat(drain.step(2_650_000, 1)).isEqualTo(DrainDeadlines.Step.AWAIT_ANSWERS);
        assertThat(drain.step(2_650_000, 0)).isEqualTo(DrainDeadlines.Step.CLOSE_ALL_ANSWERED);
        assertThat(drain.step(3_880_000, 1)).isEqualTo(DrainDeadlines.Step.CLOSE_TIMED_OUT);
        assertThat(new DrainDeadlines(0, 1_000_000, 2_500_000, true).step(640_000, 0))
                .isEqualTo(DrainDeadlines.Step.AWAIT_ANSWERS); // a short stop timeout shortens the grace
        assertThat(new DrainDeadlines(0, 4_000_000, 2_500_000, false).step(150_000, 0))
                .isEqualTo(DrainDeadlines.Step.CLOSE_ALL_ANSWERED);
        drain = new DrainDeadlines(0, 4_000_000, 2_500_000, true);
        drain.answerImmediately(100_000);
        drain.answerImmediately(900_000);
        assertThat(drain.step(200_000, 3)).isEqualTo(DrainDeadlines.Step.AWAIT_ANSWERS);
        assertThat(drain.step(250_000, 3)).isEqualTo(DrainDeadlines.Step.ANSWER_ALL);
        assertThat(drain.step(250_000, 0)).isEqualTo(DrainDeadlines.Step.CLOSE_ALL_ANSWERED);
    }
}
