package wheatspread.core;

import wheatspread.admission.Idempotency;

/**
 * The kernel, which executes requests. A job is the kernel's name for one attempt. Commands issued while the link
 * is down are delivered after the link has reconnected.
 */
public interface Kernel {
    /** How a run ended. The constants correspond to the states that the kernel protocol reports. */
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

    /** Starts a run of the class named {@code requestClass}, which is started only once unless it is idempotent. */
    void run(String job, String requestClass, Idempotency idempotency, byte[] body);

    /** Suspends a run; the listener is notified of its end with {@link End#STOPPED}. */
    void suspend(String job);

    /** Resumes a suspended run. */
    void resume(String job);

    /** Passes the reply of a dependency call to the run that waits for it; the kernel gets the reply at most once. */
    void completeDependencyCall(String job, DependencyReply reply);

    /** Continues a run without the dependency call that the notice {@code noticeNumber} requested. */
    void skipDependencyCall(String job, long noticeNumber);

    /** Requests the gauges; the listener receives them. */
    void requestGauges();

    /** Receives the kernel's reports, on the core's thread. */
    interface Listener {
        /** The kernel is up, for the first time or after a reconnect; the kernel started {@code ageMicros} us ago. */
        void onBooted(boolean cold, long ageMicros);

        /** A run ended after {@code elapsedMicros}; {@code result} is null unless it ended {@link End#OK}. */
        void onRunEnded(String job, End end, long elapsedMicros, byte[] result);

        /** A run waits for a dependency call with the body {@code call}; the notice identifies the call. */
        void onDependencyCallRequested(String job, long noticeNumber, byte[] call);

        /** The kernel reported its gauges, in the order in which the deployment settings name them. */
        void onGauges(double[] readings);

        /** A command to start or resume a run was not carried out. */
        void onRunNotStarted(String job);

        /**
         * A command for a run may have been lost, and cannot be sent again. If the kernel has read it, reports on the
         * run follow.
         */
        void onRunUncertain(String job);
    }
}
