package wheatspread.transport;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;
import wheatspread.connections.ConnectionActions;
import wheatspread.connections.ConnectionTable;
import wheatspread.core.Clock;

/**
 * Bounds the memory of answers that clients do not read. While any client is above the high watermark, it checks the
 * sum over these clients, and closes the connections with the most unread bytes. Event loop only.
 */
final class UnreadAnswerLimit {
    private static final long CHECK_INTERVAL_MICROS = 100_000;

    private final ConnectionTable table;
    private final Clock clock;
    /** The handlers of clients above the high watermark of unread answers. */
    private final Set<ClientChannelHandler> stalledHandlers = new LinkedHashSet<>();

    private boolean checkScheduled;

    UnreadAnswerLimit(ConnectionTable table, Clock clock) {
        this.table = table;
        this.clock = clock;
    }

    /** Adds a client that has risen above the high watermark. */
    void add(ClientChannelHandler handler) {
        if (stalledHandlers.add(handler) && !checkScheduled) {
            scheduleCheck();
        }
    }

    /** Removes a client that has fallen below the low watermark, or whose connection has closed. */
    void remove(ClientChannelHandler handler) {
        stalledHandlers.remove(handler);
    }

    private void scheduleCheck() {
        checkScheduled = true;
        clock.schedule(CHECK_INTERVAL_MICROS, this::check);
    }

    private void check() {
        long unreadBytes = stalledHandlers.stream()
                .mapToLong(ConnectionActions::bytesUntilWritable)
                .sum();
        while (unreadBytes > table.limits().maxPendingWriteBytes()) {
            ClientChannelHandler largestBacklogHandler = stalledHandlers.stream()
                    .max(Comparator.comparingLong(ConnectionActions::bytesUntilWritable))
                    .orElseThrow();
            unreadBytes -= largestBacklogHandler.bytesUntilWritable();
            stalledHandlers.remove(largestBacklogHandler);
            table.closeStalled(largestBacklogHandler.connection());
        }
        checkScheduled = false;
        if (!stalledHandlers.isEmpty()) {
            scheduleCheck();
        }
    }
}
