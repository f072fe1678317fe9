package wheatspread.core;

/** Unix time and timers, all on the one thread that owns the core; tests inject their own. */
public interface Clock {
    /** Unix time in microseconds. */
    long nowMicros();

    /** Runs a task once, after so many microseconds. */
    Timer after(long micros, Runnable task);

    /** Runs a task when what is being read has been read, on the same thread. */
    void soon(Runnable task);

    /** A task that waits for its time. */
    interface Timer {
        void cancel();
    }
}
