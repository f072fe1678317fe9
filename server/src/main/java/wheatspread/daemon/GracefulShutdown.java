package wheatspread.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.json.JSONObject;
import wheatspread.core.Clock;
import wheatspread.core.Core;
import wheatspread.core.RequestCounters;
import wheatspread.lifecycle.DrainDeadlines;
import wheatspread.lifecycle.Lifecycle.Event;
import wheatspread.logging.EventLog;
import wheatspread.transport.Listener;

/**
 * The graceful shutdown of one server: from the notice to leave to the end of its last connection. What is
 * due when {@link DrainDeadlines} says; here it is done to the core and the listeners. Only the loop's thread calls.
 */
final class GracefulShutdown {
    /** How often the drain is looked after; us. */
    private static final long DRAIN_LOOK = 25_000;
    /** How often connections that linger are looked after; us. */
    private static final long CLOSE_LOOK = 5_000;

    private final Core core;
    private final List<Listener> fronts;
    private final Clock clock;
    private final ProcessMarkerFiles marks;
    private final EventLog log;
    private final BooleanSupplier unread;
    private final Consumer<Event> life;
    private DrainDeadlines drain;
    private RequestCounters atNotice;
    private Core.InHand handAtNotice;

    /**
     * {@code unread} tells whether callers have written what has not been read yet; {@code life} hears how
     * the drain ended.
     */
    GracefulShutdown(
            Core core,
            List<Listener> fronts,
            Clock clock,
            ProcessMarkerFiles marks,
            EventLog log,
            BooleanSupplier unread,
            Consumer<Event> life) {
        this.core = core;
        this.fronts = fronts;
        this.clock = clock;
        this.marks = marks;
        this.log = log;
        this.unread = unread;
        this.life = life;
    }

    /** The notice was heard at {@code noticeAt}, Unix microseconds; for the rest see {@link DrainDeadlines}. */
    void begin(long noticeAt, long stopAfter, long grace, boolean listed) {
        atNotice = core.countsNow();
        handAtNotice = core.inHand();
        drain = new DrainDeadlines(noticeAt, stopAfter, grace, listed);
        core.drain(noticeAt, stopAfter);
        fronts.forEach(Listener::lastCall);
        look();
    }

    /** A second notice that asks not to wait. */
    void hurry() {
        if (drain != null && !drain.hurried()) {
            drain.hurry(clock.nowMicros());
        }
    }

    /**
     * Looks whether all is answered, and all that was written is read: a busy process may come to it late.
     * New tries come until the listener is closed, so none is left before.
     */
    private void look() {
        DrainDeadlines.Step step = drain.look(clock.nowMicros(), core.open() + (unread.getAsBoolean() ? 1 : 0));
        if (step != DrainDeadlines.Step.LISTEN) {
            fronts.forEach(Listener::stopListening);
        }
        if (step == DrainDeadlines.Step.ANSWER_ALL) {
            core.answerAll();
        }
        if (step == DrainDeadlines.Step.LEAVE_EMPTY || step == DrainDeadlines.Step.LEAVE_IN_TIME) {
            life.accept(step == DrainDeadlines.Step.LEAVE_EMPTY ? Event.EMPTY : Event.TIME_UP);
        } else {
            clock.after(DRAIN_LOOK, this::look);
        }
    }

    /** What the drain answered, what it had to fail, and whether anything is left without an answer. */
    void tell() {
        List<Object> fields = new ArrayList<>(List.of(
                "took_ms",
                drain.took(clock.nowMicros()) / 1000,
                "held",
                handAtNotice.held(),
                "running",
                handAtNotice.running(),
                "paused",
                handAtNotice.paused(),
                "calling",
                handAtNotice.calling(),
                "joined",
                handAtNotice.joined()));
        fields.addAll(List.of(core.counts().since(atNotice)));
        fields.addAll(List.of("unanswered", core.open()));
        log.info("drained", fields.toArray());
        marks.report(new JSONObject(EventLog.map(fields.toArray())));
    }

    /**
     * Ends all connections, the operators' door among them (null where there is none), and then runs
     * {@code ended}. The process must not end before: the system would reset connections with bytes that
     * nobody read, and the answers on their way with them.
     */
    void close(Listener door, Runnable ended) {
        List<Listener> all = new ArrayList<>(fronts);
        if (door != null) {
            all.add(door);
        }
        all.forEach(Listener::close);
        awaitClosed(all, clock.nowMicros(), ended);
    }

    private void awaitClosed(List<Listener> all, long closingAt, Runnable ended) {
        long pending = all.stream().mapToLong(Listener::pendingBytes).sum();
        if (all.stream().allMatch(Listener::isEmpty) || !drain.lingers(clock.nowMicros(), closingAt, pending)) {
            all.forEach(Listener::cut);
            clock.soon(ended);
        } else {
            clock.after(CLOSE_LOOK, () -> awaitClosed(all, closingAt, ended));
        }
    }
}
