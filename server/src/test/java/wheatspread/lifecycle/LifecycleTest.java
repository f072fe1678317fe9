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
    private final List<String> entered = new ArrayList<>();
    private final Lifecycle life = new Lifecycle((from, to, by) -> entered.add(to.storedName()));

    /** The names in the log and in the answer of {@code stats}; they never change. */
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

    /**
     * Every phase against every event: a signal may come in any of them, and leads nowhere but towards the
     * end.
     */
    @Test
    void signalsAreLegalInEveryPhaseAndNoneLeadsBack() {
        for (Phase phase : Phase.values()) {
            for (Event signal : Set.of(Event.NOTICE, Event.HURRY, Event.RELOAD)) {
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

    /** From every phase that can be reached, the notice leads to the end by events that can happen there. */
    @Test
    void whereverTheNoticeComesTheEndCanBeReached() {
        Map<Phase, Set<Phase>> onward = new EnumMap<>(Phase.class);
        for (Phase phase : Phase.values()) {
            Set<Phase> reached = EnumSet.noneOf(Phase.class);
            for (Event event : Event.values()) {
                if (Lifecycle.next(phase, event) != null) {
                    reached.add(Lifecycle.next(phase, event));
                }
            }
            onward.put(phase, reached);
        }
        for (Phase phase : Phase.values()) {
            Set<Phase> seen = EnumSet.of(Lifecycle.next(phase, Event.NOTICE));
            for (int i = 0; i < Phase.values().length; i++) {
                for (Phase one : EnumSet.copyOf(seen)) {
                    seen.addAll(onward.get(one));
                }
            }
            assertThat(seen)
                    .as("after the notice in %s", phase)
                    .contains(Phase.STOPPED)
                    .doesNotContain(Phase.SERVING);
        }
    }

    @Test
    void anOrdinaryLifeAndOneWhoseKernelIsQuick() {
        for (Event event : List.of(Event.START, Event.REHEARSED, Event.KERNEL_UP, Event.BOUND, Event.RELOAD)) {
            life.on(event);
        }
        assertThat(life.phase()).isEqualTo(Phase.SERVING);
        assertThat(life.leaving()).isFalse();
        assertThat(life.on(Event.NOTICE)).isTrue();
        assertThat(life.on(Event.NOTICE)).isFalse();
        life.on(Event.EMPTY);
        life.on(Event.CLOSED);
        assertThat(entered).containsExactly("REHEARSING", "BINDING", "SERVING", "DRAINING", "CLOSING", "STOPPED");
        assertThat(life.exitCode()).isZero();
        assertThatThrownBy(() -> life.on(Event.START))
                .isInstanceOf(IllegalStateException.class)
                .hasMessage("START cannot happen in phase STOPPED");
    }

    @Test
    void aStartThatFailsAndAKernelThatNeverComesTellByTheirCode() {
        life.on(Event.START);
        life.on(Event.REHEARSED);
        life.on(Event.NOTICE);
        assertThat(life.phase()).isEqualTo(Phase.RETREATING);
        life.on(Event.BIND_FAILED);
        assertThat(life.exitCode()).isEqualTo(Lifecycle.UNAVAILABLE);
        Lifecycle other = new Lifecycle((from, to, by) -> {});
        other.on(Event.START);
        other.on(Event.REHEARSED);
        other.on(Event.BOUND);
        other.on(Event.KERNEL_GIVEN_UP);
        assertThat(other.phase()).isEqualTo(Phase.DRAINING);
        assertThat(other.exitCode()).isEqualTo(Lifecycle.UNAVAILABLE);
    }

    @Test
    void aDrainListensForTheGraceThenWaitsForAnswersAndLeavesInTime() {
        DrainDeadlines drain = new DrainDeadlines(0, 4_000_000, 2_500_000, true);
        assertThat(drain.look(2_499_999, 0)).isEqualTo(DrainDeadlines.Step.LISTEN);
        assertThat(drain.look(2_500_000, 0)).isEqualTo(DrainDeadlines.Step.STOP_LISTENING); // what was just accepted
        assertThat(drain.look(2_650_000, 1)).isEqualTo(DrainDeadlines.Step.STOP_LISTENING);
        assertThat(drain.look(2_650_000, 0)).isEqualTo(DrainDeadlines.Step.LEAVE_EMPTY);
        assertThat(drain.look(3_880_000, 1)).isEqualTo(DrainDeadlines.Step.LEAVE_IN_TIME);
        assertThat(new DrainDeadlines(0, 1_000_000, 2_500_000, true).look(640_000, 0))
                .isEqualTo(DrainDeadlines.Step.STOP_LISTENING); // a short stop leaves time to answer
        assertThat(new DrainDeadlines(0, 4_000_000, 2_500_000, false).look(150_000, 0))
                .isEqualTo(DrainDeadlines.Step.LEAVE_EMPTY);
        drain = new DrainDeadlines(0, 4_000_000, 2_500_000, true);
        drain.hurry(100_000);
        drain.hurry(900_000);
        assertThat(drain.look(200_000, 3)).isEqualTo(DrainDeadlines.Step.STOP_LISTENING);
        assertThat(drain.look(250_000, 3)).isEqualTo(DrainDeadlines.Step.ANSWER_ALL);
        assertThat(drain.look(250_000, 0)).isEqualTo(DrainDeadlines.Step.LEAVE_EMPTY);
    }
}
