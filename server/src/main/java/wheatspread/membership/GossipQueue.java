package wheatspread.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Queue of gossip updates to send, each a bounded number of times, the least often sent ones first (A. Das and others,
 * "SWIM", 2002). An update replaces a queued update with an equal {@link GossipUpdate#supersessionKey}. The cost of
 * {@link #poll} grows with the number of updates that it returns, and not with the length of the queue, which is large
 * while messages are lost.
 */
final class GossipQueue {
    /**
     * The number of sends of an update is this factor times the bit length of the view size, so that the update very
     * likely reaches all members.
     */
    private static final int SENDS_PER_VIEW_SIZE_BIT = 4;
    /**
     * Superseded entries are removed when the queue is longer than this multiple of its valid entries plus {@link
     * #LENGTH_ALLOWANCE}.
     */
    private static final int MAX_LENGTH_RATIO = 2;
    /** Added to the length limit, so that a short queue is not cleaned up after almost every added update. */
    private static final int LENGTH_ALLOWANCE = 256;

    /** The valid entries by supersession key. */
    private final Map<Object, Entry> entries = new HashMap<>();
    /**
     * The queue at index n contains the entries with n + 1 remaining sends; superseded entries are skipped on removal.
     */
    private final List<Deque<Entry>> queuesByRemainingSends = new ArrayList<>();

    private int queuedEntries;

    private static final class Entry {
        private final GossipUpdate update;
        private int remainingSends;

        Entry(GossipUpdate update, int remainingSends) {
            this.update = update;
            this.remainingSends = remainingSends;
        }
    }

    /** Empties the queue for a new view with this number of members. */
    void reset(int viewSize) {
        entries.clear();
        queuesByRemainingSends.clear();
        queuedEntries = 0;
        int viewSizeBits = Integer.SIZE - Integer.numberOfLeadingZeros(viewSize);
        for (int sends = SENDS_PER_VIEW_SIZE_BIT * viewSizeBits; sends > 0; sends--) {
            queuesByRemainingSends.add(new ArrayDeque<>());
        }
    }

    void add(GossipUpdate update) {
        Entry entry = new Entry(update, queuesByRemainingSends.size());
        entries.put(update.supersessionKey(), entry);
        enqueue(entry);
        if (queuedEntries > MAX_LENGTH_RATIO * entries.size() + LENGTH_ALLOWANCE) {
            removeSuperseded();
        }
    }

    private void enqueue(Entry entry) {
        queuesByRemainingSends.get(entry.remainingSends - 1).add(entry);
        queuedEntries++;
    }

    private void removeSuperseded() {
        queuesByRemainingSends.forEach(queue -> queue.removeIf(entry -> !isValid(entry)));
        queuedEntries = entries.size();
    }

    private boolean isValid(Entry entry) {
        return entries.get(entry.update.supersessionKey()) == entry;
    }

    boolean isEmpty() {
        return entries.isEmpty();
    }

    /** Returns the number of queued entries, including superseded ones that are not removed yet. */
    int queuedEntries() {
        return queuedEntries;
    }

    /** Returns up to {@code maxUpdates} updates for one message, and queues those with remaining sends again. */
    List<GossipUpdate> poll(int maxUpdates) {
        List<Entry> taken = takeLeastSent(maxUpdates);
        List<GossipUpdate> updates = new ArrayList<>(taken.size());
        for (Entry entry : taken) {
            updates.add(entry.update);
            entry.remainingSends--;
            if (entry.remainingSends > 0) {
                enqueue(entry);
            } else {
                entries.remove(entry.update.supersessionKey());
            }
        }
        return updates;
    }

    private List<Entry> takeLeastSent(int maxUpdates) {
        List<Entry> taken = new ArrayList<>();
        for (int remainingSends = queuesByRemainingSends.size();
                remainingSends > 0 && taken.size() < maxUpdates;
                remainingSends--) {
            Deque<Entry> queue = queuesByRemainingSends.get(remainingSends - 1);
            while (!queue.isEmpty() && taken.size() < maxUpdates) {
                Entry entry = queue.poll();
                queuedEntries--;
                if (isValid(entry)) {
                    taken.add(entry);
                }
            }
        }
        return taken;
    }
}
