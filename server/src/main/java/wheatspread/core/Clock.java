package wheatspread.core;

/** Unix time and timers. All tasks run on the one thread that owns the core; tests inject their own clock. */
public interface Clock {
    /** Unix time in microseconds. */
    long nowMicros();

    /** Runs a task once, {@code delayMicros} microseconds from now. */
    Timer schedule(long delayMicros, Runnable task);

    /** Runs a task once the input of the current event-loop turn has been read, on the same thread. */
    void runAfterTurn(Runnable task);

    /** A scheduled task. */
    interface Timer {
        /** Cancels the task; has no effect once it ran or was cancelled. */
        void cancel();
    }
}
