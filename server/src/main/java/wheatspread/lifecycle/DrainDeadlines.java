package wheatspread.lifecycle;

/**
 * Computes the current step of a drain from the time since the signal. The process that sent the signal kills this
 * process after the stop timeout, so the drain ends before that.
 *
 * <table>
 * <caption>The steps of a drain</caption>
 * <tr><th>step</th><th>from</th><th>until</th></tr>
 * <tr><td>{@code ACCEPT}</td><td>the signal</td><td>the end of the grace: clients learn late that the server drains,
 *     so requests that they send within the grace are served</td></tr>
 * <tr><td>{@code AWAIT_ANSWERS}</td><td>the end of the grace</td><td>{@link #LAST_ACCEPTED_READ_MICROS} after the end
 *     of the grace, and until every request is answered</td></tr>
 * <tr><td>{@code ANSWER_ALL}</td><td>{@link #LAST_ACCEPTED_READ_MICROS} after the end of the grace, if the drain was
 *     made immediate</td><td>every request is answered</td></tr>
 * <tr><td>{@code CLOSE_ALL_ANSWERED}</td><td>every request is answered</td><td>-</td></tr>
 * <tr><td>{@code CLOSE_TIMED_OUT}</td><td>{@link #CLOSE_MARGIN_MICROS} before the stop, even with requests
 *     unanswered</td><td>-</td></tr>
 * </table>
 *
 * <p>The class reads no clock; times are Unix microseconds. Must be called from one thread.
 */
public final class DrainDeadlines {
    /** The process starts to close its connections this long before it would be killed. */
    public static final long CLOSE_MARGIN_MICROS = 120_000;
    /** The time to read a connection that was accepted just before the listeners closed. */
    public static final long LAST_ACCEPTED_READ_MICROS = 150_000;
    /** The last connections are aborted this long before the process would be killed. */
    public static final long CONNECTION_ABORT_MARGIN_MICROS = 50_000;
    /** The time for a client that has received all its answers to close its side of the connection. */
    public static final long LINGER_MICROS = 500_000;

    /** The steps of a drain; the table of the class gives their times. */
    public enum Step {
        /** New connections and requests are accepted. */
        ACCEPT,
        /** The listeners are closed; requests that clients have sent are answered. */
        AWAIT_ANSWERS,
        /** Every unanswered request is answered: rejected if it has not started, failed if it has. */
        ANSWER_ALL,
        /** The drain ends with every request answered. */
        CLOSE_ALL_ANSWERED,
        /** The drain ends at its time limit, even with requests unanswered. */
        CLOSE_TIMED_OUT
    }

    private final long signalledAtMicros;
    private final long closeAtMicros;
    private final long abortConnectionsAtMicros;
    private long acceptUntilMicros;
    private boolean immediate;

    /**
     * Computes the deadlines of a drain.
     *
     * @param signalledAtMicros when the signal arrived
     * @param stopTimeoutMicros how long after the signal the process is killed
     * @param graceMicros how long after the signal clients may send requests that are still served
     * @param listed whether clients can know this server. A server whose kernel was never ready is on no list, so its
     *     drain skips the grace.
     */
    public DrainDeadlines(long signalledAtMicros, long stopTimeoutMicros, long graceMicros, boolean listed) {
        this.signalledAtMicros = signalledAtMicros;
        closeAtMicros = signalledAtMicros + Math.max(CLOSE_MARGIN_MICROS, stopTimeoutMicros - CLOSE_MARGIN_MICROS);
        abortConnectionsAtMicros =
                Math.max(closeAtMicros, signalledAtMicros + stopTimeoutMicros - CONNECTION_ABORT_MARGIN_MICROS);
        acceptUntilMicros = listed ? endOfGrace(graceMicros) : signalledAtMicros;
    }

    /** Returns the end of the grace. A short stop timeout shortens the grace to leave time for the answers. */
    private long endOfGrace(long graceMicros) {
        long latestMicros = closeAtMicros - 2 * CLOSE_MARGIN_MICROS;
        return Math.max(signalledAtMicros, Math.min(signalledAtMicros + graceMicros, latestMicros));
    }

    /**
     * Ends the grace now. Requests that are still unanswered {@link #LAST_ACCEPTED_READ_MICROS} later are answered
     * immediately. Further calls have no effect.
     */
    public void answerImmediately(long nowMicros) {
        if (!immediate) {
            immediate = true;
            acceptUntilMicros = Math.min(acceptUntilMicros, nowMicros);
        }
    }

    public boolean isImmediate() {
        return immediate;
    }

    /** Returns the step at a time, given the number of unanswered requests. */
    public Step step(long nowMicros, int unanswered) {
        if (nowMicros >= closeAtMicros) {
            return Step.CLOSE_TIMED_OUT;
        }
        if (nowMicros < acceptUntilMicros) {
            return Step.ACCEPT;
        }
        if (nowMicros < acceptUntilMicros + LAST_ACCEPTED_READ_MICROS) {
            return Step.AWAIT_ANSWERS;
        }
        if (unanswered == 0) {
            return Step.CLOSE_ALL_ANSWERED;
        }
        return immediate ? Step.ANSWER_ALL : Step.AWAIT_ANSWERS;
    }

    /**
     * Returns whether connections that started to close at {@code closingAtMicros} may stay open. With unwritten bytes
     * they may stay open until the abort deadline, otherwise for {@link #LINGER_MICROS}, in which the client closes its
     * side.
     */
    public boolean mayLinger(long nowMicros, long closingAtMicros, long pendingBytes) {
        return nowMicros < abortConnectionsAtMicros
                && (pendingBytes > 0 || nowMicros < closingAtMicros + LINGER_MICROS);
    }

    /** Returns the time since the signal. */
    public long elapsedMicros(long nowMicros) {
        return nowMicros - signalledAtMicros;
    }
}
