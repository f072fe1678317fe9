package wheatspread.scheduling;

/**
 * Decides which connections are read in an event-loop iteration, in what order, and when the iteration has
 * read enough. Connections with open requests come first, then recently used ones, then idle ones, each in
 * the order in which they became ready. Idle connections get a small share of every iteration whatever the
 * others do. It does no I/O and reads no clock; used on the event loop only.
 */
public final class ReadScheduler {
    static final int NOT_QUEUED = -1;

    private static final int WITH_OPEN_REQUESTS = 0;
    private static final int RECENTLY_USED = 1;
    private static final int IDLE = 2;
    private static final int QUEUES = 3;

    private final IterationBudget budget;
    private final PendingRead[] first = new PendingRead[QUEUES];
    private final PendingRead[] last = new PendingRead[QUEUES];
    private final int[] sizes = new int[QUEUES];
    private long iterationStartMicros;
    private int bytesRead;
    private int requestsRead;
    private int connectionsRead;
    private int readsSinceIdleRead;
    private long exhaustedIterations;
    private long idleReads;

    public ReadScheduler(IterationBudget budget) {
        this.budget = budget;
    }

    /** Queues a connection that has something to read, unless it is queued already. */
    public void add(PendingRead ready, long nowMicros) {
        if (ready.isQueued()) {
            return;
        }
        int queue = queueFor(ready, nowMicros);
        ready.enqueued(queue, queue == IDLE);
        if (last[queue] == null) {
            first[queue] = ready;
        } else {
            last[queue].linkNext(ready);
        }
        last[queue] = ready;
        sizes[queue]++;
        idleReads += queue == IDLE ? 1 : 0;
    }

    private int queueFor(PendingRead ready, long nowMicros) {
        if (ready.hasOpenRequests()) {
            return WITH_OPEN_REQUESTS;
        }
        return ready.lastUsedMicros() > nowMicros - budget.recentUseMicros() ? RECENTLY_USED : IDLE;
    }

    /** Starts an iteration with its whole budget. */
    public void beginIteration(long nowMicros) {
        iterationStartMicros = nowMicros;
        bytesRead = 0;
        requestsRead = 0;
        connectionsRead = 0;
    }

    /** Charges the budget with what was read from the connection taken last. */
    public void recordRead(int bytes, int requests) {
        bytesRead += bytes;
        requestsRead += requests;
    }

    /**
     * Takes the next connection to read out of its queue; returns null if there is none or the budget is
     * spent. An iteration reads at least one connection.
     */
    public PendingRead take(long nowMicros) {
        if (isEmpty()) {
            return null;
        }
        if (connectionsRead > 0 && isBudgetSpent(nowMicros)) {
            exhaustedIterations++;
            return null;
        }
        connectionsRead++;
        return removeFirst(selectQueue());
    }

    private boolean isBudgetSpent(long nowMicros) {
        return bytesRead >= budget.maxBytes()
                || requestsRead >= budget.maxRequests()
                || nowMicros - iterationStartMicros >= budget.maxReadMicros();
    }

    private int selectQueue() {
        int queue = WITH_OPEN_REQUESTS;
        while (first[queue] == null) {
            queue++;
        }
        if (queue != IDLE && first[IDLE] != null && ++readsSinceIdleRead >= budget.readsPerIdleRead()) {
            queue = IDLE;
        }
        if (queue == IDLE) {
            readsSinceIdleRead = 0;
        }
        return queue;
    }

    private PendingRead removeFirst(int queue) {
        PendingRead ready = first[queue];
        first[queue] = ready.next();
        if (first[queue] == null) {
            last[queue] = null;
        }
        ready.dequeued();
        sizes[queue]--;
        return ready;
    }

    /** Whether no connection waits to be read. */
    public boolean isEmpty() {
        return size() == 0;
    }

    /** How many connections wait to be read. */
    public int size() {
        return sizes[WITH_OPEN_REQUESTS] + sizes[RECENTLY_USED] + sizes[IDLE];
    }

    /** How many idle connections wait to be read. */
    public int idleWaiting() {
        return sizes[IDLE];
    }

    /** How many iterations spent their budget before everything was read. */
    public long exhaustedIterations() {
        return exhaustedIterations;
    }

    /** How many times an idle connection was queued. */
    public long idleReads() {
        return idleReads;
    }
}
