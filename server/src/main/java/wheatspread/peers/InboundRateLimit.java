package wheatspread.peers;

/**
 * Bounds how many messages of peers are read in each window of time; what comes beyond that is dropped. A fleet of
 * thousands sends far less, and a flood takes a bounded share of the event loop.
 */
final class InboundRateLimit {
    /** Length of a window, in microseconds. */
    static final long WINDOW_MICROS = 50_000;
    /** Messages read in one window. */
    static final int MAX_MESSAGES_PER_WINDOW = 200;

    private long window = Long.MIN_VALUE;
    private int messagesInWindow;

    /** Whether one more message may be read now. */
    boolean tryAcquire(long nowMicros) {
        long current = Math.floorDiv(nowMicros, WINDOW_MICROS);
        if (current != window) {
            window = current;
            messagesInWindow = 0;
        }
        messagesInWindow++;
        return messagesInWindow <= MAX_MESSAGES_PER_WINDOW;
    }
}
