package wheatspread.core;

/**
 * The kernel, which does the work of requests. A job is the kernel's name for one attempt. Commands may be given
 * while the link is down; the link delivers them once it is up again.
 */
public interface Kernel {
    /** How a run ended. The names of the constants are words of the kernel protocol. */
    enum End {
        /** The run returned a result. */
        OK,
        /** The run failed. */
        ERROR,
        /** The run was suspended at the core's request. */
        STOPPED,
        /** The kernel ignored the command to start or resume the run. */
        IGNORED
    }

    /** Starts a run of the class named {@code requestClass}. */
    void run(String job, String requestClass, byte[] body);

    /** Suspends a run; the listener hears of its end with {@link End#STOPPED}. */
    void suspend(String job);

    /** Resumes a suspended run. */
    void resume(String job);

    /** Hands the reply of a dependency call to the run that waits for it. */
    void completeDependencyCall(String job, byte[] reply);

    /** Continues a run without the dependency call that the notice {@code noticeNumber} asked for. */
    void skipDependencyCall(String job, long noticeNumber);

    /** Asks for the gauges, which the listener is given. */
    void requestGauges();

    /** Receives what the kernel reports, on the core's thread. */
    interface Listener {
        /** The kernel is up, for the first time or again; it started {@code ageMicros} microseconds ago. */
        void onBooted(boolean cold, long ageMicros);

        /** A run ended after {@code elapsedMicros}; {@code result} is null unless it ended {@link End#OK}. */
        void onRunEnded(String job, End end, long elapsedMicros, byte[] result);

        /** A run waits for a dependency call with the body {@code call}; the notice identifies the call. */
        void onDependencyCallRequested(String job, long noticeNumber, byte[] call);

        /** The gauges, in the order that the deployment settings name them. */
        void onGauges(double[] readings);

        /** A command to start or resume a run was not carried out. */
        void onRunNotStarted(String job);
    }
}
