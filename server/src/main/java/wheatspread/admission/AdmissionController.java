package wheatspread.admission;

/**
 * Decides, inside one server, which requests run, are held and are rejected. The host calls {@link #beginBatch} with
 * the time, then passes the events that have come in, in order, then calls {@link #decide}, which sends all actions.
 * One object serves one process; it is not safe for use by several threads. All times are microseconds.
 */
public interface AdmissionController {

    /** Starts a batch of events at the given time, which never goes back. */
    void beginBatch(long nowMicros);

    /** A request was read; it is held until a decision. */
    void onArrival(AdmissionRequest request);

    /** A run, or the wait of a joining request, has ended after {@code elapsedMicros}. */
    void onCompletion(long id, Outcome outcome, long elapsedMicros);

    /** A run cannot go on without a dependency call. */
    void onBlocked(long id);

    /** A dependency call has ended after {@code elapsedMicros}. */
    void onCallCompleted(long id, Outcome outcome, long elapsedMicros);

    /** The client has gone away; the request needs no answer. */
    void onCancellation(long id);

    /** This process is stopped after {@code timeLeftMicros}. */
    void onDrain(long timeLeftMicros);

    /**
     * The settings were reloaded: {@code next} has all request classes of the old ones, by the same index, and may
     * have more after them. Requests in flight keep their class.
     */
    void onSettingsChanged(AdmissionSettings next);

    /** A wakeup set by {@link Actions#scheduleWakeup} has come. */
    void onTimer(LoadGauges gauges);

    /** Ends the batch: makes all decisions and sends them to {@code actions}. */
    void decide(Actions actions);

    /** Receives the decisions. */
    interface Actions {
        /** Starts a held request, or resumes a suspended one. */
        void run(long id);

        /**
         * Rejects a request that never ran.
         *
         * @param retryAfterMicros how long the client should stay away; 0 for no such advice
         * @param doNotRetry whether the client should not retry at all
         */
        void reject(long id, long retryAfterMicros, boolean doNotRetry);

        /** Answers with an error that does not say whether the request ran. */
        void fail(long id);

        /** Stops or suspends a run. */
        void preempt(long id);

        /** Makes the dependency call that a run waits for, and gives it up after {@code timeoutMicros}. */
        void callDependency(long id, long timeoutMicros);

        /** Lets a run go on without its dependency call. */
        void skipDependency(long id);

        /** Remembers the request's key for {@code ttlMicros}. */
        void retainKey(long id, long ttlMicros);

        /** Forgets the request's key. */
        void releaseKey(long id);

        /** Answers a repeat with the result of the request that it repeats, once there is one. */
        void joinResult(long id);

        /**
         * Sets the answer to health checks.
         *
         * @param stored whether checks are answered from this setting, without work of their own; the server always
         * does
         *     so, the simulator can do either
         */
        void setHealth(boolean healthy, boolean stored);

        /** Sets the value that goes with every answer; {@link LoadFeedbackMode} says what it means. */
        void setLoadFeedback(double value);

        /** Closes connections that were idle for this long; 0 means the longest time allowed. */
        void setIdleTimeout(long timeoutMicros);

        /** Asks for an {@link #onTimer} event. */
        void scheduleWakeup(long delayMicros);

        /** Writes a line to the operators' log. */
        void log(String text);
    }
}
