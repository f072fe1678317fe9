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
 * Drains the requests and connections of a server. {@link DrainDeadlines} says which step is to be taken at which
 * time; here it is carried out on the core and the listeners. {@link ShutdownSequence} has the whole of a shutdown.
 * Only the loop's thread calls.
 */
final class GracefulShutdown {
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long DRAIN_POLL_MICROS = 25_000;
    private static final long CLOSE_POLL_MICROS = 5_000;

    private final Core core;
    private final List<Listener> listeners;
    private final Clock clock;
    private final ProcessMarkerFiles markerFiles;
    private final EventLog log;
    private final BooleanSupplier hasUnreadInput;
    private final Consumer<Event> drainEnded;
    private DrainDeadlines deadlines;
    private RequestCounters countersAtSignal;
    private Core.InFlightCounts openAtSignal;

    /**
     * {@code hasUnreadInput} says whether callers have written what has not been read yet; {@code drainEnded} is given
     * {@link Event#ALL_ANSWERED} or {@link Event#DRAIN_TIMED_OUT} at the end of the drain.
     */
    GracefulShutdown(
            Core core,
            List<Listener> listeners,
            Clock clock,
            ProcessMarkerFiles markerFiles,
            EventLog log,
            BooleanSupplier hasUnreadInput,
            Consumer<Event> drainEnded) {
        this.core = core;
        this.listeners = listeners;
        this.clock = clock;
        this.markerFiles = markerFiles;
        this.log = log;
        this.hasUnreadInput = hasUnreadInput;
        this.drainEnded = drainEnded;
    }

    /** Begins the drain; for the parameters see {@link DrainDeadlines}. */
    void begin(long signalledAtMicros, long stopTimeoutMicros, long graceMicros, boolean listed) {
        countersAtSignal = core.countersSnapshot();
        openAtSignal = core.inFlight();
        deadlines = new DrainDeadlines(signalledAtMicros, stopTimeoutMicros, graceMicros, listed);
        core.drain(signalledAtMicros, stopTimeoutMicros);
        listeners.forEach(Listener::notifyDraining);
        poll();
    }

    /**
     * Ends the grace, and has everything answered soon: rejected if it has not started, failed if it has. Before the
     * drain it does nothing.
     */
    void answerImmediately() {
        if (deadlines != null && !deadlines.isImmediate()) {
            deadlines.answerImmediately(clock.nowMicros());
        }
    }

    /**
     * Takes the step of the time. Input that is not read yet counts as one unanswered request: a busy process may be
     * late in reading it.
     */
    private void poll() {
        int unanswered = core.unansweredCount() + (hasUnreadInput.getAsBoolean() ? 1 : 0);
        DrainDeadlines.Step step = deadlines.step(clock.nowMicros(), unanswered);
        if (step != DrainDeadlines.Step.ACCEPT) {
            listeners.forEach(Listener::stopListening);
        }
        switch (step) {
            case CLOSE_ALL_ANSWERED -> drainEnded.accept(Event.ALL_ANSWERED);
            case CLOSE_TIMED_OUT -> drainEnded.accept(Event.DRAIN_TIMED_OUT);
            case ANSWER_ALL -> {
                core.answerAll();
                clock.schedule(DRAIN_POLL_MICROS, this::poll);
            }
            default -> clock.schedule(DRAIN_POLL_MICROS, this::poll);
        }
    }

    /**
     * Logs, and writes to the report file, what was open at the signal, what became of it, and what is unanswered.
     */
    void logReport() {
        List<Object> fields = new ArrayList<>(List.of(
                "took_ms",
                deadlines.elapsedMicros(clock.nowMicros()) / MICROS_PER_MILLI,
                "held",
                openAtSignal.queued(),
                "running",
                openAtSignal.running(),
                "paused",
                openAtSignal.suspended(),
                "calling",
                openAtSignal.awaitingDependency(),
                "joined",
                openAtSignal.joined()));
        fields.addAll(List.of(core.counters().logFieldsSince(countersAtSignal)));
        fields.addAll(List.of("unanswered", core.unansweredCount()));
        log.info("drained", fields.toArray());
        markerFiles.report(new JSONObject(EventLog.map(fields.toArray())));
    }

    /**
     * Closes all connections, those of the operators' endpoint too ({@code controlListener} is null where there is
     * none), and then runs {@code closed}. The process must not exit before: the system would reset connections with
     * bytes that nobody has read, and the answers on their way would be lost.
     */
    void close(Listener controlListener, Runnable closed) {
        List<Listener> all = new ArrayList<>(listeners);
        if (controlListener != null) {
            all.add(controlListener);
        }
        all.forEach(Listener::drainAll);
        awaitClosed(all, clock.nowMicros(), closed);
    }

    private void awaitClosed(List<Listener> all, long closingAtMicros, Runnable closed) {
        long pendingBytes = all.stream().mapToLong(Listener::pendingWriteBytes).sum();
        if (all.stream().allMatch(Listener::isEmpty)
                || !deadlines.mayLinger(clock.nowMicros(), closingAtMicros, pendingBytes)) {
            all.forEach(Listener::closeAll);
            clock.runAfterTurn(closed);
        } else {
            clock.schedule(CLOSE_POLL_MICROS, () -> awaitClosed(all, closingAtMicros, closed));
        }
    }
}
