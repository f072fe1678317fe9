package wheatspread.core;

/** Unix time and timers. All tasks run on the thread that owns the core. Tests inject their own implementation. */
public interface Clock {
    /** Returns the Unix time in microseconds. */
    long nowMicros();

    /** Runs a task once, {@code delayMicros} microseconds from now. */
    Timer schedule(long delayMicros, Runnable task);

    /** Runs a task on the same thread after the input of the current event-loop iteration has been read. */
    void runAfterTurn(Runnable task);

    /** A scheduled task. */
    interface Timer {
        /** Cancels the task; has no effect if it has run or was cancelled before. */
        void cancel();
    }
}
