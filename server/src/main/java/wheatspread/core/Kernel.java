package wheatspread.core;

/** What the core asks of the kernel, which does the work. Commands may be given while the link is down. */
public interface Kernel {
    /** How a run ended. */
    enum End {
        OK,
        ERROR,
        STOPPED,
        MOOT
    }

    void run(String job, String kind, byte[] body);

    void pause(String job);

    void resume(String job);

    /** Hands the reply to the call that a run waits for. */
    void callDone(String job, byte[] reply);

    /** Lets a run go on without the call that a notice asked for. */
    void skipCall(String job, long notice);

    void askGauges();

    /** What the kernel tells. */
    interface Listener {
        /** The kernel is up, first or again; {@code age} is how long ago it started, in microseconds. */
        void booted(boolean cold, long age);

        void ended(String job, End end, long took, byte[] result);

        void blocked(String job, long notice, byte[] call);

        void gauges(double[] row);

        /** A command to start a run was not carried out. */
        void notStarted(String job);
    }
}
