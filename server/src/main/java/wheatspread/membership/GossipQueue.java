package wheatspread.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Gossip updates to be sent, each a bounded number of times, the least sent first (A. Das and others, "SWIM", 2002). An
 * update takes the place of a queued one with an equal {@link GossipUpdate#supersessionKey}. The cost of a message
 * grows with the updates that it takes, not with all that are queued, which are many while messages are lost.
 */
final class GossipQueue {
    /** Each update is sent so many times the binary logarithm of the fleet's size, which reaches all very likely. */
    private static final int SENDS_PER_LOG_SIZE = 4;
    /** Superseded entries are removed once the queue is this many times as long as its valid entries, */
    private static final int MAX_LENGTH_RATIO = 2;
    /** and longer by that number besides, so that short queues are not cleaned all the time. */
    private static final int LENGTH_ALLOWANCE = 256;

    /** The valid entries by supersession key. */
    private final Map<Object, Entry> entries = new HashMap<>();
    /** Queued entries by how often they are still to be sent, from 1 on; superseded ones are skipped. */
    private final List<Deque<Entry>> bySendsLeft = new ArrayList<>();

    private int queuedEntries;

    private static final class Entry {
        private final GossipUpdate update;
        private int sendsLeft;

        Entry(GossipUpdate update, int sendsLeft) {
            this.update = update;
            this.sendsLeft = sendsLeft;
        }
    }

    /** Empties the queue for a view of that size. */
    void reset(int fleetSize) {
        entries.clear();
        bySendsLeft.clear();
        queuedEntries = 0;
        int logSize = Integer.SIZE - Integer.numberOfLeadingZeros(fleetSize);
        for (int sends = SENDS_PER_LOG_SIZE * logSize; sends > 0; sends--) {
            bySendsLeft.add(new ArrayDeque<>());
        }
    }

    void add(GossipUpdate update) {
        Entry entry = new Entry(update, bySendsLeft.size());
        entries.put(update.supersessionKey(), entry);
        enqueue(entry);
        if (queuedEntries > MAX_LENGTH_RATIO * entries.size() + LENGTH_ALLOWANCE) {
            removeSuperseded();
        }
    }

    private void enqueue(Entry entry) {
        bySendsLeft.get(entry.sendsLeft - 1).add(entry);
        queuedEntries++;
    }

    private void removeSuperseded() {
        bySendsLeft.forEach(queue -> queue.removeIf(entry -> !isValid(entry)));
        queuedEntries = entries.size();
    }

    private boolean isValid(Entry entry) {
        return entries.get(entry.update.supersessionKey()) == entry;
    }

    boolean isEmpty() {
        return entries.isEmpty();
    }

    /** How many entries are queued, with superseded ones that are not removed yet. */
    int queuedEntries() {
        return queuedEntries;
    }

    /** Takes up to so many updates for one message, and queues each again until it was sent often enough. */
    List<GossipUpdate> poll(int maxUpdates) {
        List<Entry> taken = takeLeastSent(maxUpdates);
        List<GossipUpdate> updates = new ArrayList<>(taken.size());
        for (Entry entry : taken) {
            updates.add(entry.update);
            entry.sendsLeft--;
            if (entry.sendsLeft > 0) {
                enqueue(entry);
            } else {
                entries.remove(entry.update.supersessionKey());
            }
        }
        return updates;
    }

    private List<Entry> takeLeastSent(int maxUpdates) {
        List<Entry> taken = new ArrayList<>();
        for (int sendsLeft = bySendsLeft.size(); sendsLeft > 0 && taken.size() < maxUpdates; sendsLeft--) {
            Deque<Entry> queue = bySendsLeft.get(sendsLeft - 1);
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
