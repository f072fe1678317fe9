package wheatspread.peers;

/**
 * How many messages of peers are read: so many in each slice of time, and no more until the next. A fleet
 * of thousands stays far below it, and a flood takes a bounded share of the loop. Times are microseconds.
 */
final class InboundRateLimit {
    static final long SLICE = 50_000;
    static final int MOST = 200;

    private long slice = Long.MIN_VALUE;
    private int taken;

    /** Whether one more may be read. */
    boolean take(long now) {
        long current = Math.floorDiv(now, SLICE);
        if (current != slice) {
            slice = current;
            taken = 0;
        }
        return ++taken <= MOST;
    }
}
