package wheatspread.lifecycle;

/**
 * What a drain does at which time after the signal. The process that sent the signal kills this one after
 * {@code stopTimeout}; all is over before that.
 *
 * <table>
 * <caption>The steps of a drain</caption>
 * <tr><th>step</th><th>from</th><th>until</th></tr>
 * <tr><td>{@code ACCEPT}</td><td>the signal</td><td>the grace is over: callers learn late that the server drains, so
 *     what they send within the grace is served</td></tr>
 * <tr><td>{@code AWAIT_ANSWERS}</td><td>the end of the grace</td><td>what was accepted last had
 *     {@link #LAST_ACCEPTED_READ_MICROS} to be read, and every request is answered</td></tr>
 * <tr><td>{@code ANSWER_ALL}</td><td>the same, if the drain was made immediate</td>
 *     <td>every request is answered</td></tr>
 * <tr><td>{@code CLOSE_ALL_ANSWERED}</td><td>every request is answered</td><td>-</td></tr>
 * <tr><td>{@code CLOSE_TIMED_OUT}</td><td>{@link #CLOSE_MARGIN_MICROS} before the stop, whatever is open</td>
 *     <td>-</td></tr>
 * </table>
 *
 * <p>It reads no clock; times are Unix microseconds. One thread calls it.
 */
public final class DrainDeadlines {
    /** The process closes its connections this long before it would be killed. */
    public static final long CLOSE_MARGIN_MICROS = 120_000;
    /** A connection that was accepted just before the listeners closed gets this long to be read. */
    public static final long LAST_ACCEPTED_READ_MICROS = 150_000;
    /** The last connections are aborted this long before the process would be killed. */
    public static final long CONNECTION_ABORT_MARGIN_MICROS = 50_000;
    /** A caller that has all its answers gets this long to close its side as well. */
    public static final long LINGER_MICROS = 500_000;

    /** What a drain does now; the table of the class says when. */
    public enum Step {
        /** New connections and requests are taken. */
        ACCEPT,
        /** The listeners are closed; requests that were sent are answered. */
        AWAIT_ANSWERS,
        /** Every unanswered request is answered: rejected if it has not started, failed if it has. */
        ANSWER_ALL,
        /** The drain ends, and nothing is open. */
        CLOSE_ALL_ANSWERED,
        /** The drain ends, whatever is open. */
        CLOSE_TIMED_OUT
    }

    private final long signalledAtMicros;
    private final long closeAtMicros;
    private final long abortConnectionsAtMicros;
    private long acceptUntilMicros;
    private boolean immediate;

    /**
     * The deadlines of a drain.
     *
     * @param signalledAtMicros when the signal came
     * @param stopTimeoutMicros how long after the signal the process is killed
     * @param graceMicros how long callers may send requests that are still served
     * @param listed whether callers can know this server: one whose kernel was never ready is on no list, so it does
     *     not wait for the grace
     */
    public DrainDeadlines(long signalledAtMicros, long stopTimeoutMicros, long graceMicros, boolean listed) {
        this.signalledAtMicros = signalledAtMicros;
        closeAtMicros = signalledAtMicros + Math.max(CLOSE_MARGIN_MICROS, stopTimeoutMicros - CLOSE_MARGIN_MICROS);
        abortConnectionsAtMicros =
                Math.max(closeAtMicros, signalledAtMicros + stopTimeoutMicros - CONNECTION_ABORT_MARGIN_MICROS);
        acceptUntilMicros = listed ? endOfGrace(graceMicros) : signalledAtMicros;
    }

    /** A short stop timeout shortens the grace, so that time to answer is left. */
    private long endOfGrace(long graceMicros) {
        long latestMicros = closeAtMicros - 2 * CLOSE_MARGIN_MICROS;
        return Math.max(signalledAtMicros, Math.min(signalledAtMicros + graceMicros, latestMicros));
    }

    /**
     * Ends the grace now; what is unanswered after the last accepted connections were read is answered. Calls after
     * the first change nothing.
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

    /** The step now, with so many requests that are not answered. */
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
     * Whether connections whose closing began at {@code closingAtMicros} may wait for their callers: for bytes that
     * are not written until the abort deadline, for the caller's own close for {@link #LINGER_MICROS}.
     */
    public boolean mayLinger(long nowMicros, long closingAtMicros, long pendingBytes) {
        return nowMicros < abortConnectionsAtMicros
                && (pendingBytes > 0 || nowMicros < closingAtMicros + LINGER_MICROS);
    }

    /** The time since the signal. */
    public long elapsedMicros(long nowMicros) {
        return nowMicros - signalledAtMicros;
    }
}
