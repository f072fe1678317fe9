package wheatspread.admission.sfq;

import wheatspread.admission.ServerLimits;

/**
 * The time window of a graceful shutdown: requests are accepted for a grace time after the drain notice, and all work
 * ends a margin before the process is stopped.
 */
final class DrainWindow {
    /** Time between the end of runs and calls and the stop of the process. */
    private static final long WORK_END_MARGIN_MICROS = 300_000;
    /** Time between the last answer and the stop of the process. */
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

    /** Returns whether a request arrived after the grace time and must not be run. */
    boolean isPastGrace(long arrivalMicros) {
        return notifiedMicros >= 0 && arrivalMicros > notifiedMicros + graceMicros;
    }

    /** Returns when the process is stopped; {@link Long#MAX_VALUE} if no drain was requested. */
    long stopMicros() {
        return stopMicros;
    }

    /** Returns when runs and dependency calls must have ended. */
    long workEndMicros() {
        return stopMicros - WORK_END_MARGIN_MICROS;
    }

    /** Returns when all requests must have been answered. */
    long answerEndMicros() {
        return stopMicros - ANSWER_MARGIN_MICROS;
    }
}
