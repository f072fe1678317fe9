package wheatspread.scheduling;

/**
 * Which connections are read in a turn of the event loop, in what order, and when the turn has read enough.
 * Those with open requests come first, then those used lately, then the sleepers; each in the order in which
 * they became ready. Sleepers get a small part of every turn whatever the others do. It does no I/O and reads
 * no clock.
 */
public final class ReadScheduler {
    static final int NONE = -1;
    private static final int OPEN = 0;
    private static final int LATELY = 1;
    private static final int SLEEPER = 2;
    private static final int QUEUES = 3;

    private final IterationBudget limits;
    private final PendingRead[] first = new PendingRead[QUEUES];
    private final PendingRead[] last = new PendingRead[QUEUES];
    private final int[] sizes = new int[QUEUES];
    private long startedAt;
    private int bytes;
    private int requests;
    private int taken;
    private int sinceSleeper;
    private long exhausted;
    private long sleepers;

    public ReadScheduler(IterationBudget limits) {
        this.limits = limits;
    }

    /** A connection has something to read. */
    public void add(PendingRead ready, long now) {
        if (ready.queue != NONE) {
            return;
        }
        int queue = ready.hasOpenRequests() ? OPEN : ready.usedAt() > now - limits.lately() ? LATELY : SLEEPER;
        ready.queue = queue;
        ready.sleeper = queue == SLEEPER;
        ready.next = null;
        if (last[queue] == null) {
            first[queue] = ready;
        } else {
            last[queue].next = ready;
        }
        last[queue] = ready;
        sizes[queue]++;
        sleepers += queue == SLEEPER ? 1 : 0;
    }

    /** A turn begins. */
    public void begin(long now) {
        startedAt = now;
        bytes = 0;
        requests = 0;
        taken = 0;
    }

    /** What was read of the connection taken last. */
    public void spent(int readBytes, int readRequests) {
        bytes += readBytes;
        requests += readRequests;
    }

    /** The next connection to read, which is queued no longer; null if there is none or the turn is over. */
    public PendingRead take(long now) {
        if (isEmpty()) {
            return null;
        }
        boolean over = bytes >= limits.mostBytes()
                || requests >= limits.mostRequests()
                || now - startedAt >= limits.mostMicros();
        if (over && taken > 0) {
            exhausted++;
            return null;
        }
        taken++;
        int queue = OPEN;
        while (first[queue] == null) {
            queue++;
        }
        if (queue != SLEEPER && first[SLEEPER] != null && ++sinceSleeper >= limits.sleepersPart()) {
            queue = SLEEPER;
        }
        if (queue == SLEEPER) {
            sinceSleeper = 0;
        }
        PendingRead ready = first[queue];
        first[queue] = ready.next;
        if (first[queue] == null) {
            last[queue] = null;
        }
        ready.next = null;
        ready.queue = NONE;
        sizes[queue]--;
        return ready;
    }

    public boolean isEmpty() {
        return size() == 0;
    }

    /** How many connections wait to be read. */
    public int size() {
        return sizes[OPEN] + sizes[LATELY] + sizes[SLEEPER];
    }

    /** How many sleepers are among them. */
    public int sleepersWaiting() {
        return sizes[SLEEPER];
    }

    /** Turns that left something unread. */
    public long exhausted() {
        return exhausted;
    }

    /** Connections that were queued as sleepers. */
    public long sleepers() {
        return sleepers;
    }
}
