package wheatspread.scheduling;

/**
 * Decides which connections are read in an event-loop iteration, in what order, and when the read budget of
 * the iteration is spent. Connections with open requests are read first, then recently used connections, then
 * idle connections, each group in the order in which they became ready. Idle connections are guaranteed one
 * in {@link IterationBudget#readsPerIdleRead} reads, whatever the load of the other connections. The scheduler does no
 * I/O and reads no clock. Used on the event loop only.
 */
public final class ReadScheduler {
    static final int NOT_QUEUED = -1;

    private static final int WITH_OPEN_REQUESTS = 0;
    private static final int RECENTLY_USED = 1;
    private static final int IDLE = 2;
    private static final int QUEUE_COUNT = 3;

    private final IterationBudget budget;
    private final ReadBudget readBudget;
    private final PendingRead[] first = new PendingRead[QUEUE_COUNT];
    private final PendingRead[] last = new PendingRead[QUEUE_COUNT];
    private final int[] sizes = new int[QUEUE_COUNT];
    private long iterationStartMicros;
    private int bytesRead;
    private int requestsRead;
    private int connectionsRead;
    private int readsSinceIdleRead;
    private long exhaustedIterations;
    private long idleConnectionsQueued;

    public ReadScheduler(IterationBudget budget) {
        this.budget = budget;
        readBudget = new ReadBudget(budget.maxMessagesPerRead(), budget.maxImmediateAnswersPerRead());
    }

    /** Queues a connection that has input to read; does nothing if it is queued already. */
    public void add(PendingRead ready, long nowMicros) {
        if (ready.isQueued()) {
            return;
        }
        int queue = selectQueueFor(ready, nowMicros);
        ready.markQueued(queue, queue == IDLE);
        if (last[queue] == null) {
            first[queue] = ready;
        } else {
            last[queue].linkNext(ready);
        }
        last[queue] = ready;
        sizes[queue]++;
        idleConnectionsQueued += queue == IDLE ? 1 : 0;
    }

    private int selectQueueFor(PendingRead ready, long nowMicros) {
        if (ready.hasOpenRequests()) {
            return WITH_OPEN_REQUESTS;
        }
        return ready.lastUsedMicros() > nowMicros - budget.recentUseMicros() ? RECENTLY_USED : IDLE;
    }

    /** Returns the budget of the read that {@link #take} returned last. */
    public ReadBudget readBudget() {
        return readBudget;
    }

    /** Starts an iteration and resets its budget. */
    public void beginIteration(long nowMicros) {
        iterationStartMicros = nowMicros;
        bytesRead = 0;
        requestsRead = 0;
        connectionsRead = 0;
    }

    /** Charges the budget for bytes and whole requests read from a connection. */
    public void recordRead(int bytes, int requests) {
        bytesRead += bytes;
        requestsRead += requests;
    }

    /**
     * Removes the next connection to read from its queue and returns it. Returns null if no connection waits or
     * the budget is spent; the first connection of an iteration is returned regardless of the budget.
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
        return removeFirst(selectNextQueue());
    }

    private boolean isBudgetSpent(long nowMicros) {
        return bytesRead >= budget.maxBytes()
                || requestsRead >= budget.maxRequests()
                || nowMicros - iterationStartMicros >= budget.maxReadMicros();
    }

    private int selectNextQueue() {
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
        ready.markDequeued();
        sizes[queue]--;
        return ready;
    }

    /** Returns whether no connection waits to be read. */
    public boolean isEmpty() {
        return size() == 0;
    }

    /** Returns the number of connections that wait to be read. */
    public int size() {
        return sizes[WITH_OPEN_REQUESTS] + sizes[RECENTLY_USED] + sizes[IDLE];
    }

    /** Returns the number of idle connections that wait to be read. */
    public int idleConnectionsWaiting() {
        return sizes[IDLE];
    }

    /** Returns the number of iterations since the start whose budget was spent while connections still waited. */
    public long exhaustedIterations() {
        return exhaustedIterations;
    }

    /** Returns how many times since the start an idle connection was queued. */
    public long idleConnectionsQueued() {
        return idleConnectionsQueued;
    }
}
