package wheatspread.admission;

/**
 * Decides, inside one server, which requests are run, held and turned away. The host calls {@link #beginBatch}
 * with the clock, then the events that have come in, in order, then {@link #decide}, which sends all actions.
 * One object serves one process life; it is not safe for use by several threads. Times are microseconds.
 */
public interface AdmissionController {

    /** Starts a batch of events at the given clock, which never goes back. */
    void beginBatch(long now);

    /** A try was read and is held. */
    void onArrival(AdmissionRequest request);

    /** A run or a join ended after {@code elapsed}. */
    void onCompletion(long id, Outcome outcome, long elapsed);

    /** A run can go on only with a call. */
    void onBlocked(long id);

    /** A call ended after {@code elapsed}. */
    void onCallCompleted(long id, Outcome outcome, long elapsed);

    /** The caller has gone; no answer is owed. */
    void onCancellation(long id);

    /** This process is stopped after {@code left}. */
    void onDrain(long left);

    /**
     * The settings were retuned at SIGHUP: {@code next} has the classes it had, by the same index, and new
     * ones after them. Requests in hand keep their class.
     */
    void onSettingsChanged(AdmissionSettings next);

    /** A timer set by {@link Actions#scheduleWakeup} is due. */
    void onTimer(LoadGauges gauges);

    /** Ends the batch: all decisions are made now and sent to {@code actions}. */
    void decide(Actions actions);

    /** Where decisions go. */
    interface Actions {
        /** Starts a held request. */
        void run(long id);

        /** Turns a request away that never ran. */
        void reject(long id, long stayAway, boolean dontRetry);

        /** Answers with an error that promises nothing. */
        void fail(long id);

        /** Stops running work. */
        void preempt(long id);

        /** Makes the call a request stands at. */
        void callDependency(long id, long giveUpAfter);

        /** Lets a request go on without its call. */
        void skipDependency(long id);

        /** Remembers the request's key. */
        void retainKey(long id, long ttl);

        /** Forgets the request's key. */
        void releaseKey(long id);

        /** Answers a repeat with the result of the request it repeats. */
        void joinResult(long id);

        /** Sets what health checks hear. */
        void setHealth(boolean good, boolean stored);

        /** Sets the value that goes with every answer. */
        void setLoadFeedback(double value);

        /** Closes connections unused for this long; 0 means the longest allowed. */
        void setIdleTimeout(long after);

        /** Asks for a {@link #onTimer} event. */
        void scheduleWakeup(long after);

        /** Leaves a line for the operators. */
        void log(String text);
    }
}
