package wheatspread.admission.sfq;

import wheatspread.admission.ServerLimits;

/**
 * Graceful shutdown: after the drain notice requests are accepted for a grace time, and all work ends a margin before
 * the process is stopped.
 */
final class DrainWindow {
    /** Runs and calls end this long before the process is stopped. */
    private static final long WORK_END_MARGIN_MICROS = 300_000;
    /** Requests are answered this long before the process is stopped. */
    private static final long ANSWER_MARGIN_MICROS = WORK_END_MARGIN_MICROS / 2;

    private final long graceMicros;
    private long notifiedMicros = -1;
    private long stopMicros = Long.MAX_VALUE;

    DrainWindow(ServerLimits limits) {
        graceMicros = limits.drainGraceMicros();
    }

    void begin(long nowMicros, long timeLeftMicros) {
        notifiedMicros = nowMicros;
        stopMicros = nowMicros + timeLeftMicros;
    }

    boolean isDraining() {
        return notifiedMicros >= 0;
    }

    /** Whether a request was written after the grace time, so that it may not be run. */
    boolean isPastGrace(long arrivalMicros) {
        return notifiedMicros >= 0 && arrivalMicros > notifiedMicros + graceMicros;
    }

    /** When the process is stopped; {@link Long#MAX_VALUE} if no stop is announced. */
    long stopMicros() {
        return stopMicros;
    }

    /** When runs and calls have to end. */
    long workEndMicros() {
        return stopMicros - WORK_END_MARGIN_MICROS;
    }

    /** When requests have to be answered. */
    long answerEndMicros() {
        return stopMicros - ANSWER_MARGIN_MICROS;
    }
}
