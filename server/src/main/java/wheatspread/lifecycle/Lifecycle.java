package wheatspread.lifecycle;

import java.util.EnumMap;
import java.util.Map;

/**
 * The phases of a process and every way from one to the next. What may happen in a phase stands in one table;
 * anything else is a fault of the program and thrown. It does no I/O and reads no clock.
 */
public final class Lifecycle {
    /**
     * {@code REHEARSING} warms the JVM and {@code BINDING} opens the listeners; {@code RETREATING} is a
     * start that is to end as soon as its listeners are known; {@code WAITING} listens for want of a kernel
     * and refuses; {@code SERVING} takes work; {@code DRAINING} answers what there is; {@code CLOSING} lets
     * go of sockets.
     */
    public enum Phase {
        NEW("NEW"),
        REHEARSING("REHEARSING"),
        BINDING("BINDING"),
        RETREATING("RETREATING"),
        WAITING("WAITING"),
        SERVING("SERVING"),
        DRAINING("DRAINING"),
        CLOSING("CLOSING"),
        STOPPED("STOPPED");

        private final String storedName;

        Phase(String storedName) {
            this.storedName = storedName;
        }

        /** The name in files and in the log. It stays when the constant is renamed. */
        public String storedName() {
            return storedName;
        }
    }

    /**
     * {@code NOTICE} is the notice to leave, {@code HURRY} a second one that asks not to wait; {@code EMPTY}
     * and {@code TIME_UP} end a drain.
     */
    public enum Event {
        START("START"),
        REHEARSED("REHEARSED"),
        BOUND("BOUND"),
        BIND_FAILED("BIND_FAILED"),
        KERNEL_UP("KERNEL_UP"),
        KERNEL_GIVEN_UP("KERNEL_GIVEN_UP"),
        NOTICE("NOTICE"),
        HURRY("HURRY"),
        RELOAD("RELOAD"),
        EMPTY("EMPTY"),
        TIME_UP("TIME_UP"),
        CLOSED("CLOSED");

        private final String storedName;

        Event(String storedName) {
            this.storedName = storedName;
        }

        /** The name in files and in the log. It stays when the constant is renamed. */
        public String storedName() {
            return storedName;
        }
    }

    /** Exit codes, as in sysexits.h. */
    public static final int OK = 0;

    public static final int UNAVAILABLE = 69;

    /** Hears of every change of phase. */
    public interface Listener {
        void entered(Phase from, Phase to, Event by);
    }

    private static final Map<Phase, Map<Event, Phase>> TABLE = new EnumMap<>(Phase.class);

    static {
        row(
                Phase.NEW,
                Event.START,
                Phase.REHEARSING,
                Event.NOTICE,
                Phase.STOPPED,
                Event.HURRY,
                Phase.STOPPED,
                Event.RELOAD,
                Phase.NEW);
        // nothing has been accepted yet, so there is nothing to drain
        row(
                Phase.REHEARSING,
                Event.REHEARSED,
                Phase.BINDING,
                Event.NOTICE,
                Phase.STOPPED,
                Event.HURRY,
                Phase.STOPPED,
                Event.RELOAD,
                Phase.REHEARSING);
        // the kernel's link opens while the listeners are bound
        row(
                Phase.BINDING,
                Event.BOUND,
                Phase.WAITING,
                Event.BIND_FAILED,
                Phase.STOPPED,
                Event.NOTICE,
                Phase.RETREATING,
                Event.HURRY,
                Phase.RETREATING,
                Event.RELOAD,
                Phase.BINDING,
                Event.KERNEL_UP,
                Phase.BINDING);
        // a listener may have accepted before the others are bound
        row(
                Phase.RETREATING,
                Event.BOUND,
                Phase.DRAINING,
                Event.BIND_FAILED,
                Phase.STOPPED,
                Event.NOTICE,
                Phase.RETREATING,
                Event.HURRY,
                Phase.RETREATING,
                Event.RELOAD,
                Phase.RETREATING,
                Event.KERNEL_UP,
                Phase.RETREATING);
        row(
                Phase.WAITING,
                Event.KERNEL_UP,
                Phase.SERVING,
                Event.KERNEL_GIVEN_UP,
                Phase.DRAINING,
                Event.NOTICE,
                Phase.DRAINING,
                Event.HURRY,
                Phase.DRAINING,
                Event.RELOAD,
                Phase.WAITING);
        row(Phase.SERVING, Event.NOTICE, Phase.DRAINING, Event.HURRY, Phase.DRAINING, Event.RELOAD, Phase.SERVING);
        // a repeated notice doesn't move the drain's clock; a kernel that comes up now finds no work
        row(
                Phase.DRAINING,
                Event.EMPTY,
                Phase.CLOSING,
                Event.TIME_UP,
                Phase.CLOSING,
                Event.NOTICE,
                Phase.DRAINING,
                Event.HURRY,
                Phase.DRAINING,
                Event.RELOAD,
                Phase.DRAINING,
                Event.KERNEL_UP,
                Phase.DRAINING);
        row(
                Phase.CLOSING,
                Event.CLOSED,
                Phase.STOPPED,
                Event.NOTICE,
                Phase.CLOSING,
                Event.HURRY,
                Phase.CLOSING,
                Event.RELOAD,
                Phase.CLOSING,
                Event.KERNEL_UP,
                Phase.CLOSING);
        row(
                Phase.STOPPED,
                Event.NOTICE,
                Phase.STOPPED,
                Event.HURRY,
                Phase.STOPPED,
                Event.RELOAD,
                Phase.STOPPED,
                Event.KERNEL_UP,
                Phase.STOPPED,
                Event.REHEARSED,
                Phase.STOPPED);
    }

    private static void row(Phase from, Object... pairs) {
        Map<Event, Phase> row = new EnumMap<>(Event.class);
        for (int i = 0; i < pairs.length; i += 2) {
            row.put((Event) pairs[i], (Phase) pairs[i + 1]);
        }
        TABLE.put(from, row);
    }

    private final Listener listener;
    private volatile Phase phase = Phase.NEW;
    private volatile int exitCode = OK;
    private boolean kernelUp;

    public Lifecycle(Listener listener) {
        this.listener = listener;
    }

    /** Where an event leads from a phase; null where it cannot happen. */
    public static Phase next(Phase from, Event event) {
        return TABLE.get(from).get(event);
    }

    /** Any thread may look. */
    public Phase phase() {
        return phase;
    }

    /** What the process is to exit with once it has stopped. */
    public int exitCode() {
        return exitCode;
    }

    /** Whether the notice to leave was given, or the process goes for another reason. */
    public boolean leaving() {
        return phase == Phase.RETREATING || phase.compareTo(Phase.DRAINING) >= 0;
    }

    /** Whether the kernel was up at any time; before that nothing can have run. */
    public boolean kernelUp() {
        return kernelUp;
    }

    /** Something happened; returns whether the phase changed. One thread at a time. */
    public boolean on(Event event) {
        Phase from = phase;
        Phase to = next(from, event);
        if (to == null) {
            throw new IllegalStateException(event.storedName + " cannot happen in phase " + from.storedName);
        }
        kernelUp |= event == Event.KERNEL_UP;
        if (event == Event.BIND_FAILED || event == Event.KERNEL_GIVEN_UP) {
            exitCode = UNAVAILABLE;
        }
        if (to == Phase.WAITING && kernelUp) {
            to = Phase.SERVING; // the link was quicker than the listeners
        }
        if (to == from) {
            return false;
        }
        phase = to;
        listener.entered(from, to, event);
        return true;
    }
}
