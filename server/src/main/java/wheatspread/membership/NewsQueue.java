package wheatspread.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * News to be passed on, each piece a bounded number of times (A. Das and others, "SWIM", 2002), that which
 * was passed on least first. Newer news of a subject takes the place of older.
 */
final class NewsQueue {
    /** Each piece is passed on so many times the logarithm of the fleet's size. */
    private static final int TIMES = 4;

    private final Map<Object, Entry> entries = new LinkedHashMap<>();
    private int times;

    private static final class Entry {
        final News news;
        int left;

        Entry(News news, int left) {
            this.news = news;
            this.left = left;
        }
    }

    /** Forgets all: what was news of one view is none of the next. */
    void clear(int fleet) {
        entries.clear();
        times = TIMES * (32 - Integer.numberOfLeadingZeros(fleet));
    }

    void add(News news) {
        entries.remove(news.subject());
        entries.put(news.subject(), new Entry(news, times));
    }

    boolean isEmpty() {
        return entries.isEmpty();
    }

    /** Up to so many pieces for one message. */
    List<News> take(int most) {
        List<Entry> chosen = new ArrayList<>(entries.values());
        chosen.sort(Comparator.comparingInt(entry -> -entry.left));
        List<News> taken = new ArrayList<>();
        for (Entry entry : chosen.subList(0, Math.min(most, chosen.size()))) {
            taken.add(entry.news);
            if (--entry.left <= 0) {
                entries.remove(entry.news.subject());
            }
        }
        return taken;
    }
}
