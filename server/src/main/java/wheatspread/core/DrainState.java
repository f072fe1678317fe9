package wheatspread.core;

/**
 * Whether this server is draining, and when the drain started. A drain never ends before the process does. The grace
 * period starts at the signal. The admission controller keeps its own window, which starts at the batch that reports
 * the drain to the controller. Owned by the core's thread.
 */
final class DrainState {
    private static final long NOT_DRAINING = Long.MAX_VALUE;

    private final ActiveSettings settings;
    private long startedAtMicros = NOT_DRAINING;

    DrainState(ActiveSettings settings) {
        this.settings = settings;
    }

    /** Starts draining; the drain grace starts at {@code startMicros}, in Unix microseconds. */
    void start(long startMicros) {
        startedAtMicros = startMicros;
    }

    boolean draining() {
        return startedAtMicros != NOT_DRAINING;
    }

    /** Returns whether a request written at this Unix time was written after the drain grace and must not run. */
    boolean isPastGrace(long writtenAtMicros) {
        return draining() && writtenAtMicros > startedAtMicros + settings.drainGraceMicros();
    }
}
