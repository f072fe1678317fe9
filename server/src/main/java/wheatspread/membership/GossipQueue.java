package wheatspread.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * News to be passed on, each piece a bounded number of times (A. Das and others, "SWIM", 2002), that which
 * was passed on least first. Newer news of a subject takes the place of older. A message takes time for the
 * pieces that it takes, not for all that wait: under loss these are many.
 */
final class GossipQueue {
    /** Each piece is passed on so many times the logarithm of the fleet's size. */
    private static final int TIMES = 4;
    /** So many times as many entries as are in use may wait, and so many more, before they are sorted out. */
    private static final int SLACK = 2;

    private static final int SLACK_AT_LEAST = 256;

    private final Map<Object, Entry> entries = new HashMap<>();
    /** By how often they are still to be passed on, 1 first; entries that were replaced are passed over. */
    private final List<Deque<Entry>> byLeft = new ArrayList<>();

    private int queuedEntries;

    private static final class Entry {
        final GossipUpdate news;
        int left;

        Entry(GossipUpdate news, int left) {
            this.news = news;
            this.left = left;
        }
    }

    /** Forgets all: what was news of one view is none of the next. */
    void reset(int fleet) {
        entries.clear();
        byLeft.clear();
        queuedEntries = 0;
        for (int times = TIMES * (32 - Integer.numberOfLeadingZeros(fleet)); times > 0; times--) {
            byLeft.add(new ArrayDeque<>());
        }
    }

    void add(GossipUpdate news) {
        Entry entry = new Entry(news, byLeft.size());
        entries.put(news.supersessionKey(), entry);
        await(entry);
        if (queuedEntries > SLACK * entries.size() + SLACK_AT_LEAST) { // or those replaced would pile up
            byLeft.forEach(some -> some.removeIf(one -> entries.get(one.news.supersessionKey()) != one));
            queuedEntries = entries.size();
        }
    }

    private void await(Entry entry) {
        byLeft.get(entry.left - 1).add(entry);
        queuedEntries++;
    }

    boolean isEmpty() {
        return entries.isEmpty();
    }

    /** How many entries there are, with those that were replaced and are not sorted out yet. */
    int queuedEntries() {
        return queuedEntries;
    }

    /** Up to so many pieces for one message. */
    List<GossipUpdate> poll(int most) {
        List<Entry> chosen = new ArrayList<>();
        for (int left = byLeft.size(); left > 0 && chosen.size() < most; left--) {
            Deque<Entry> some = byLeft.get(left - 1);
            while (!some.isEmpty() && chosen.size() < most) {
                Entry entry = some.poll();
                queuedEntries--;
                if (entries.get(entry.news.supersessionKey()) == entry) {
                    chosen.add(entry);
                }
            }
        }
        List<GossipUpdate> taken = new ArrayList<>(chosen.size());
        for (Entry entry : chosen) {
            taken.add(entry.news);
            if (--entry.left > 0) {
                await(entry);
            } else {
                entries.remove(entry.news.supersessionKey());
            }
        }
        return taken;
    }
}
