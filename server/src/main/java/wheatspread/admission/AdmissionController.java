package wheatspread.admission;

/**
 * Decides inside one server which requests run, are held and are rejected. The host calls {@link #beginBatch} with the
 * time, passes the events since the last batch in their order, and then calls {@link #decide}, which sends all actions.
 * An instance serves one process and is not safe for use by several threads. All times are in microseconds.
 */
public interface AdmissionController {

    /**
     * Begins a batch of events.
     *
     * @param nowMicros time of the batch, which never decreases
     */
    void beginBatch(long nowMicros);

    /** Reports a request that was read. It is held until a decision. */
    void onArrival(AdmissionRequest request);

    /**
     * Reports the end of a run, or of a duplicate's wait for the original result ({@link Actions#joinResult}), after
     * {@code elapsedMicros}.
     */
    void onCompletion(long id, Outcome outcome, long elapsedMicros);

    /** Reports that a run cannot continue without a dependency call. */
    void onBlocked(long id);

    /** Reports the end of a dependency call after {@code elapsedMicros}. */
    void onCallCompleted(long id, Outcome outcome, long elapsedMicros);

    /** Reports that the client has cancelled the request, so that it needs no answer. */
    void onCancellation(long id);

    /** Reports a drain notice: this process is stopped after {@code timeLeftMicros}. */
    void onDrain(long timeLeftMicros);

    /**
     * Reports reloaded settings. {@code next} has all request classes of the old settings at the same indexes, and may
     * have more after them. Requests in flight keep their class.
     */
    void onSettingsChanged(AdmissionSettings next);

    /** Reports that a wakeup set by {@link Actions#scheduleWakeup} is due, with the gauge readings of that time. */
    void onTimer(LoadGauges gauges);

    /** Ends the batch: makes all decisions and sends them to {@code actions}. */
    void decide(Actions actions);

    /** Receives the decisions of a batch. */
    interface Actions {
        /** Starts a held request, or resumes a suspended one. */
        void run(long id);

        /**
         * Rejects a request that never ran.
         *
         * @param retryAfterMicros how long the client should wait before a retry; 0 for no such advice
         * @param doNotRetry whether the client should not retry at all
         */
        void reject(long id, long retryAfterMicros, boolean doNotRetry);

        /** Answers a request with an error that does not say whether the request ran. */
        void fail(long id);

        /** Stops or suspends a run. */
        void preempt(long id);

        /** Makes the dependency call that a run waits for, with a timeout of {@code timeoutMicros}. */
        void callDependency(long id, long timeoutMicros);

        /** Lets a run continue without its dependency call. */
        void skipDependency(long id);

        /** Retains the request's key for {@code ttlMicros}. */
        void retainKey(long id, long ttlMicros);

        /** Releases the request's key. */
        void releaseKey(long id);

        /** Answers a duplicate with the result of the original request once that is available. */
        void joinResult(long id);

        /**
         * Sets the answer to health checks.
         *
         * @param stored whether health checks are answered from this stored value without further work; always true in
         *     the server, while the simulator supports both
         */
        void setHealth(boolean healthy, boolean stored);

        /**
         * Sets the load feedback value that is sent with every answer; {@link LoadFeedbackMode} defines its meaning.
         */
        void setLoadFeedback(double value);

        /** Sets the time after which idle connections are closed; 0 restores the configured limit. */
        void setIdleTimeout(long timeoutMicros);

        /** Requests an {@link #onTimer} event after {@code delayMicros}, which is positive. */
        void scheduleWakeup(long delayMicros);

        /** Writes a line to the operators' log. */
        void log(String text);
    }
}
