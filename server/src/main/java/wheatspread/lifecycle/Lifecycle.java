package wheatspread.lifecycle;

import java.util.EnumMap;
import java.util.Map;

/**
 * The state machine of a server process. One table holds all transitions; an event without an entry for the current
 * phase is a programming error and throws {@link IllegalStateException}.
 *
 * <table>
 * <caption>Phases, and the events that end them</caption>
 * <tr><th>phase</th><th>activity of the process</th><th>transitions</th></tr>
 * <tr><td>{@code NEW}</td><td>has not started</td>
 *     <td>{@code START} to {@code WARMING_UP}; a drain signal to {@code STOPPED}</td></tr>
 * <tr><td>{@code WARMING_UP}</td><td>warms up the JVM, with no listener open</td>
 *     <td>{@code WARMED_UP} to {@code BINDING}; a drain signal to {@code STOPPED}</td></tr>
 * <tr><td>{@code BINDING}</td><td>binds the listeners and connects to the kernel</td>
 *     <td>{@code BOUND} to {@code AWAITING_KERNEL}, or to {@code SERVING} if the kernel is ready already;
 *     {@code BIND_FAILED} to {@code STOPPED}; a drain signal to {@code CANCELLING_START}</td></tr>
 * <tr><td>{@code CANCELLING_START}</td><td>finishes binding before it drains, because a listener that is
 *     already open may have accepted connections</td>
 *     <td>{@code BOUND} to {@code DRAINING}; {@code BIND_FAILED} to {@code STOPPED}</td></tr>
 * <tr><td>{@code AWAITING_KERNEL}</td><td>listens, and rejects requests because the kernel is not ready</td>
 *     <td>{@code KERNEL_READY} to {@code SERVING}; {@code KERNEL_TIMED_OUT} or a drain signal to
 *     {@code DRAINING}</td></tr>
 * <tr><td>{@code SERVING}</td><td>serves requests</td><td>a drain signal to {@code DRAINING}</td></tr>
 * <tr><td>{@code DRAINING}</td><td>answers the requests that clients have sent</td>
 *     <td>{@code ALL_ANSWERED} or {@code DRAIN_TIMED_OUT} to {@code CLOSING}</td></tr>
 * <tr><td>{@code CLOSING}</td><td>closes its connections</td><td>{@code CLOSED} to {@code STOPPED}</td></tr>
 * <tr><td>{@code STOPPED}</td><td>may exit</td><td>-</td></tr>
 * </table>
 *
 * <p>The drain signals are {@code DRAIN} (SIGTERM, or a first SIGINT) and {@code DRAIN_IMMEDIATELY} (a second
 * SIGINT). They and {@code RELOAD} (SIGHUP) are allowed in every phase; if the table names no successor, the phase
 * does not change.
 *
 * <p>The class does no I/O and reads no clock. {@link #handle} must be called from one thread; any thread may read
 * the phase.
 */
public final class Lifecycle {
    /** The phases in order; no event leads to an earlier phase. */
    public enum Phase {
        NEW("NEW"),
        WARMING_UP("REHEARSING"),
        BINDING("BINDING"),
        CANCELLING_START("RETREATING"),
        AWAITING_KERNEL("WAITING"),
        SERVING("SERVING"),
        DRAINING("DRAINING"),
        CLOSING("CLOSING"),
        STOPPED("STOPPED");

        private final String storedName;

        Phase(String storedName) {
            this.storedName = storedName;
        }

        /** Returns the name in the log and in the answer to {@code stats}, which a rename must not change. */
        public String storedName() {
            return storedName;
        }
    }

    /** The events that can occur in a process. */
    public enum Event {
        START("START"),
        WARMED_UP("REHEARSED"),
        BOUND("BOUND"),
        BIND_FAILED("BIND_FAILED"),
        KERNEL_READY("KERNEL_UP"),
        /** The kernel was not ready within the time that the operator allows. */
        KERNEL_TIMED_OUT("KERNEL_GIVEN_UP"),
        /** SIGTERM or a first SIGINT starts the drain. */
        DRAIN("NOTICE"),
        /** After a second SIGINT, the drain no longer waits for requests that clients may still send. */
        DRAIN_IMMEDIATELY("HURRY"),
        /** SIGHUP requests a reload of the configuration. */
        RELOAD("RELOAD"),
        /** The drain has ended because every request is answered. */
        ALL_ANSWERED("EMPTY"),
        /** The drain has ended because its time limit was reached. */
        DRAIN_TIMED_OUT("TIME_UP"),
        /** The last connection has closed. */
        CLOSED("CLOSED");

        private final String storedName;

        Event(String storedName) {
            this.storedName = storedName;
        }

        /** Returns the name in the log, which a rename must not change. */
        public String storedName() {
            return storedName;
        }
    }

    /** EX_OK of sysexits.h. */
    public static final int EXIT_OK = 0;
    /** EX_UNAVAILABLE of sysexits.h: a listener could not be bound, or the kernel was not ready in time. */
    public static final int EXIT_UNAVAILABLE = 69;

    /** Receives every change of phase, on the thread that calls {@link #handle}. */
    public interface Listener {
        /** The process has entered the phase {@code to} because of the event {@code cause}. */
        void phaseEntered(Phase from, Phase to, Event cause);
    }

    private static final Map<Phase, Map<Event, Phase>> TRANSITIONS = transitions();

    private final Listener listener;
    private volatile Phase phase = Phase.NEW;
    private volatile int exitCode = EXIT_OK;
    private boolean kernelWasReady;

    /** Creates the state of a process in phase {@code NEW}. */
    public Lifecycle(Listener listener) {
        this.listener = listener;
    }

    private static Map<Phase, Map<Event, Phase>> transitions() {
        Map<Phase, Map<Event, Phase>> table = new EnumMap<>(Phase.class);
        for (Phase phase : Phase.values()) {
            table.put(phase, new EnumMap<>(Event.class));
        }
        table.get(Phase.NEW).put(Event.START, Phase.WARMING_UP);
        table.get(Phase.WARMING_UP).put(Event.WARMED_UP, Phase.BINDING);
        table.get(Phase.BINDING).put(Event.BOUND, Phase.AWAITING_KERNEL);
        table.get(Phase.BINDING).put(Event.BIND_FAILED, Phase.STOPPED);
        table.get(Phase.CANCELLING_START).put(Event.BOUND, Phase.DRAINING);
        table.get(Phase.CANCELLING_START).put(Event.BIND_FAILED, Phase.STOPPED);
        table.get(Phase.AWAITING_KERNEL).put(Event.KERNEL_READY, Phase.SERVING);
        table.get(Phase.AWAITING_KERNEL).put(Event.KERNEL_TIMED_OUT, Phase.DRAINING);
        table.get(Phase.DRAINING).put(Event.ALL_ANSWERED, Phase.CLOSING);
        table.get(Phase.DRAINING).put(Event.DRAIN_TIMED_OUT, Phase.CLOSING);
        table.get(Phase.CLOSING).put(Event.CLOSED, Phase.STOPPED);
        // a drain signal may stop the process while the warm-up is still running
        table.get(Phase.STOPPED).put(Event.WARMED_UP, Phase.STOPPED);
        for (Phase phase : Phase.values()) {
            table.get(phase).put(Event.DRAIN, afterDrainSignal(phase));
            table.get(phase).put(Event.DRAIN_IMMEDIATELY, afterDrainSignal(phase));
            table.get(phase).put(Event.RELOAD, phase);
        }
        // the link to the kernel opens with BINDING, and may become ready in any later phase
        for (Phase phase : Phase.values()) {
            if (phase.compareTo(Phase.BINDING) >= 0 && phase != Phase.SERVING) {
                table.get(phase).putIfAbsent(Event.KERNEL_READY, phase);
            }
        }
        return table;
    }

    /**
     * Returns the phase after a drain signal. A process without listeners stops at once. Further drain signals do not
     * change the phase.
     */
    private static Phase afterDrainSignal(Phase phase) {
        return switch (phase) {
            case NEW, WARMING_UP -> Phase.STOPPED;
            case BINDING -> Phase.CANCELLING_START;
            case AWAITING_KERNEL, SERVING -> Phase.DRAINING;
            default -> phase;
        };
    }

    /** Returns the phase that follows an event; null if the event cannot occur in the phase {@code from}. */
    public static Phase next(Phase from, Event event) {
        return TRANSITIONS.get(from).get(event);
    }

    /** Returns the current phase. Thread-safe. */
    public Phase phase() {
        return phase;
    }

    /** Returns the exit code of the process, valid once it has stopped. Thread-safe. */
    public int exitCode() {
        return exitCode;
    }

    /** Returns whether the process cancels its start, drains, closes or has stopped. Thread-safe. */
    public boolean isStopping() {
        return phase == Phase.CANCELLING_START || phase.compareTo(Phase.DRAINING) >= 0;
    }

    /** Returns whether the kernel was ever ready; if it was not, no request can have run. */
    public boolean kernelWasReady() {
        return kernelWasReady;
    }

    /** Applies the transition of an event and returns whether the phase changed. Must be called from one thread. */
    public boolean handle(Event event) {
        Phase from = phase;
        Phase to = next(from, event);
        if (to == null) {
            throw new IllegalStateException(event.storedName + " cannot happen in phase " + from.storedName);
        }
        kernelWasReady |= event == Event.KERNEL_READY;
        if (event == Event.BIND_FAILED || event == Event.KERNEL_TIMED_OUT) {
            exitCode = EXIT_UNAVAILABLE;
        }
        if (to == Phase.AWAITING_KERNEL && kernelWasReady) {
            to = Phase.SERVING;
        }
        if (to == from) {
            return false;
        }
        phase = to;
        listener.phaseEntered(from, to, event);
        return true;
    }
}
