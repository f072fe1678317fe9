package wheatspread.admission.sfq;

/**
 * The time of the current batch, and the ticks at which slowly changing state is updated. A batch that begins more than
 * one tick late shows that the process was stalled, by a collection, a paused machine or a starved core. The ages of
 * requests that arrive after the stall then exclude the stall time, so that it does not count as load.
 */
final class DecisionClock {
    /** Time between ticks: short compared with latency objectives, long compared with the cost of a timer. */
    static final long TICK_MICROS = 50_000;

    private long nowMicros;
    private long startedMicros = -1;
    private long nextTickMicros;
    private long stallMicros;
    private long stallEndMicros;

    void beginBatch(long batchMicros) {
        nowMicros = batchMicros;
        if (startedMicros < 0) {
            startedMicros = batchMicros;
        }
        if (nextTickMicros > 0 && batchMicros > nextTickMicros + TICK_MICROS) {
            stallMicros = batchMicros - nextTickMicros;
            stallEndMicros = batchMicros + stallMicros;
        }
    }

    long nowMicros() {
        return nowMicros;
    }

    /** Returns the time of the first batch. */
    long startedMicros() {
        return startedMicros;
    }

    boolean isFirstDecision() {
        return nextTickMicros == 0;
    }

    boolean isTick() {
        return nowMicros >= nextTickMicros;
    }

    long nextTickMicros() {
        return nextTickMicros;
    }

    void scheduleNextTick() {
        nextTickMicros = nowMicros + TICK_MICROS;
    }

    /** Returns the part of an arrival's age that was not spent while the process was stalled. */
    long ageWithoutStallMicros(long ageMicros) {
        return nowMicros <= stallEndMicros ? Math.max(0, ageMicros - stallMicros) : ageMicros;
    }
}
