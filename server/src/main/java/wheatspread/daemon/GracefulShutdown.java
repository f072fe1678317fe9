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
 * Drains the requests and connections of a server. {@link DrainDeadlines} decides which step is due; this class applies
 * it to the core and the listeners. {@link ShutdownSequence} describes the complete shutdown. All calls are made on the
 * event loop's thread.
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
    private final Consumer<Runnable> afterNextReads;
    private final Consumer<Event> drainEnded;
    private DrainDeadlines deadlines;
    private RequestCounters countersAtSignal;
    private Core.InFlightCounts inFlightAtSignal;

    /**
     * Creates a shutdown that has not begun.
     *
     * @param hasUnreadInput returns whether clients have sent input that has not been read yet
     * @param afterNextReads runs a task once the input that clients have sent before the call has been read
     * @param drainEnded receives {@link Event#ALL_ANSWERED} or {@link Event#DRAIN_TIMED_OUT} at the end of the drain
     */
    GracefulShutdown(
            Core core,
            List<Listener> listeners,
            Clock clock,
            ProcessMarkerFiles markerFiles,
            EventLog log,
            BooleanSupplier hasUnreadInput,
            Consumer<Runnable> afterNextReads,
            Consumer<Event> drainEnded) {
        this.core = core;
        this.listeners = listeners;
        this.clock = clock;
        this.markerFiles = markerFiles;
        this.log = log;
        this.hasUnreadInput = hasUnreadInput;
        this.afterNextReads = afterNextReads;
        this.drainEnded = drainEnded;
    }

    /** Starts the drain. {@link DrainDeadlines} describes the parameters. */
    void begin(long signalledAtMicros, long stopTimeoutMicros, long graceMicros, boolean listed) {
        countersAtSignal = core.countersSnapshot();
        inFlightAtSignal = core.inFlight();
        deadlines = new DrainDeadlines(signalledAtMicros, stopTimeoutMicros, graceMicros, listed);
        core.drain(signalledAtMicros, stopTimeoutMicros);
        listeners.forEach(Listener::notifyDraining);
        poll();
    }

    /**
     * Ends the grace period and answers all requests soon: a request is rejected if it has not started, and failed if
     * it has. Does nothing before the drain.
     */
    void answerImmediately() {
        if (deadlines != null && !deadlines.isImmediate()) {
            deadlines.answerImmediately(clock.nowMicros());
        }
    }

    /** Applies the step that is due, and schedules the next poll. */
    private void poll() {
        DrainDeadlines.Step step = currentStep();
        if (step != DrainDeadlines.Step.ACCEPT) {
            listeners.forEach(Listener::stopListening);
        }
        switch (step) {
            case CLOSE_ALL_ANSWERED, CLOSE_TIMED_OUT -> afterNextReads.accept(this::endDrain);
            case ANSWER_ALL -> {
                core.answerAll();
                clock.schedule(DRAIN_POLL_MICROS, this::poll);
            }
            default -> clock.schedule(DRAIN_POLL_MICROS, this::poll);
        }
    }

    /**
     * Ends the drain, unless requests were open in the input that has been read since the end was due: if the event
     * loop is late, its timers run before it reads the requests that wait in the sockets.
     */
    private void endDrain() {
        switch (currentStep()) {
            case CLOSE_ALL_ANSWERED -> drainEnded.accept(Event.ALL_ANSWERED);
            case CLOSE_TIMED_OUT -> drainEnded.accept(Event.DRAIN_TIMED_OUT);
            default -> clock.schedule(DRAIN_POLL_MICROS, this::poll);
        }
    }

    /** Returns the step that is due; unread input counts as one unanswered request. */
    private DrainDeadlines.Step currentStep() {
        int unanswered = core.unansweredCount() + (hasUnreadInput.getAsBoolean() ? 1 : 0);
        return deadlines.step(clock.nowMicros(), unanswered);
    }

    /**
     * Logs the requests that were in flight at the signal, their outcomes, and the number of unanswered requests, and
     * writes the same fields to the report file.
     */
    void logReport() {
        List<Object> fields = new ArrayList<>(List.of(
                "took_ms",
                deadlines.elapsedMicros(clock.nowMicros()) / MICROS_PER_MILLI,
                "held",
                inFlightAtSignal.queued(),
                "running",
                inFlightAtSignal.running(),
                "paused",
                inFlightAtSignal.suspended(),
                "calling",
                inFlightAtSignal.awaitingDependency(),
                "joined",
                inFlightAtSignal.joined()));
        fields.addAll(List.of(core.counters().logFieldsSince(countersAtSignal)));
        fields.addAll(List.of("unanswered", core.unansweredCount()));
        log.info("drained", fields.toArray());
        markerFiles.writeReport(new JSONObject(EventLog.map(fields.toArray())));
    }

    /**
     * Closes all connections, including those of the operators' endpoint, and then runs {@code closed}. The process
     * must not exit before {@code closed} runs: the operating system would reset connections with unread bytes, and
     * answers that are not delivered yet would be lost.
     *
     * @param controlListener the listener of the operators' endpoint; null if there is none
     */
    void close(Listener controlListener, Runnable closed) {
        List<Listener> allListeners = new ArrayList<>(listeners);
        if (controlListener != null) {
            allListeners.add(controlListener);
        }
        allListeners.forEach(Listener::drainAll);
        awaitClosed(allListeners, clock.nowMicros(), closed);
    }

    private void awaitClosed(List<Listener> allListeners, long closingAtMicros, Runnable closed) {
        long pendingBytes =
                allListeners.stream().mapToLong(Listener::pendingWriteBytes).sum();
        if (allListeners.stream().allMatch(Listener::isEmpty)
                || !deadlines.mayLinger(clock.nowMicros(), closingAtMicros, pendingBytes)) {
            allListeners.forEach(Listener::closeAll);
            clock.runAfterTurn(closed);
        } else {
            clock.schedule(CLOSE_POLL_MICROS, () -> awaitClosed(allListeners, closingAtMicros, closed));
        }
    }
}
