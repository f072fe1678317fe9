package wheatspread.peers;

/**
 * Limits how many messages of peers are read in each time window; further messages are dropped. A fleet of thousands of
 * members sends far less than the limit, and a flood of messages takes a bounded share of the event loop's time.
 */
final class InboundRateLimit {
    /** The length of a window. */
    static final long WINDOW_MICROS = 50_000;
    /** The maximum number of messages read in one window. */
    static final int MAX_MESSAGES_PER_WINDOW = 200;

    /** The number of the current window, counted from time 0. */
    private long windowNumber = Long.MIN_VALUE;

    private int messagesInWindow;

    /** Counts a message; returns whether it may be read. */
    boolean tryAcquire(long nowMicros) {
        long currentWindow = Math.floorDiv(nowMicros, WINDOW_MICROS);
        if (currentWindow != windowNumber) {
            windowNumber = currentWindow;
            messagesInWindow = 0;
        }
        messagesInWindow++;
        return messagesInWindow <= MAX_MESSAGES_PER_WINDOW;
    }
}
