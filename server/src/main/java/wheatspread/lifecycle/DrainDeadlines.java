package wheatspread.lifecycle;

/**
 * The clock of a drain: how long callers are still listened to, when the rest must be answered, and when the
 * process goes. Callers hear late of the notice, so what comes within the grace is served; what comes later
 * is refused; nobody is cut off. It reads no clock; times are microseconds.
 */
public final class DrainDeadlines {
    /** The process ends this long before it would be killed. */
    public static final long STOP_MARGIN = 120_000;
    /** What was accepted just before the listener closed gets this long to be read. */
    public static final long LISTENER_GONE = 150_000;

    /** The last connections are cut off this long before the process would be killed. */
    public static final long CUT_MARGIN = 50_000;
    /** A caller that has all its answers gets this long to close its side as well. */
    public static final long LINGER = 500_000;

    /** What to do now. */
    public enum Step {
        LISTEN,
        STOP_LISTENING,
        ANSWER_ALL,
        LEAVE_EMPTY,
        LEAVE_IN_TIME
    }

    private final long noticeAt;
    private final long leaveBy;
    private final long cutBy;
    private long listenUntil;
    private boolean hurried;

    /**
     * @param stopAfter how long after the notice the process is killed
     * @param grace how long callers may send what still runs
     * @param listed whether callers can know this server: one whose kernel never came up is on no list
     */
    public DrainDeadlines(long now, long stopAfter, long grace, boolean listed) {
        noticeAt = now;
        leaveBy = now + Math.max(STOP_MARGIN, stopAfter - STOP_MARGIN);
        cutBy = Math.max(leaveBy, now + stopAfter - CUT_MARGIN);
        listenUntil = listed ? Math.max(now, Math.min(now + grace, leaveBy - 2 * STOP_MARGIN)) : now;
    }

    /**
     * A second notice: all that is open is answered now, and what is still on its way gets its short time.
     */
    public void hurry(long now) {
        if (!hurried) {
            hurried = true;
            listenUntil = Math.min(listenUntil, now);
        }
    }

    public boolean hurried() {
        return hurried;
    }

    /** The next step, with so many requests that owe an answer. */
    public Step look(long now, int open) {
        if (now >= leaveBy) {
            return Step.LEAVE_IN_TIME;
        }
        if (now < listenUntil) {
            return Step.LISTEN;
        }
        if (now < listenUntil + LISTENER_GONE) {
            return Step.STOP_LISTENING;
        }
        return open == 0 ? Step.LEAVE_EMPTY : hurried ? Step.ANSWER_ALL : Step.STOP_LISTENING;
    }

    /**
     * Whether connections that were closed at {@code closingAt} may go on lingering, with so many bytes that
     * wait to be written to their callers.
     */
    public boolean lingers(long now, long closingAt, long pending) {
        return now < cutBy && (pending > 0 || now < closingAt + LINGER);
    }

    /** How long ago the notice came. */
    public long took(long now) {
        return now - noticeAt;
    }
}
