package wheatspread.core;

/**
 * Whether this server is draining, and since when. It never stops draining. The grace runs from the signal; the
 * admission controller keeps its own window, which runs from the batch in which it learns of it.
 * Owned by the core's thread.
 */
final class DrainState {
    private static final long NOT_DRAINING = Long.MAX_VALUE;

    private final ActiveSettings settings;
    private long startedAtMicros = NOT_DRAINING;

    DrainState(ActiveSettings settings) {
        this.settings = settings;
    }

    /** Starts draining; the drain grace runs from {@code startMicros}, in Unix microseconds. */
    void start(long startMicros) {
        startedAtMicros = startMicros;
    }

    boolean draining() {
        return startedAtMicros != NOT_DRAINING;
    }

    /** Whether a request written at this time was written after the drain grace, and must not run. */
    boolean isPastGrace(long writtenAtMicros) {
        return draining() && writtenAtMicros > startedAtMicros + settings.drainGraceMicros();
    }
}
