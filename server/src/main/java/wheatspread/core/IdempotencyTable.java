package wheatspread.core;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Which try stands for a key, and what became of it. An entry of a keyed class is there from the reading of
 * the first try, pinned or not, and once that try ran it stays for the class's window: no matter what the
 * module forgets, a second try finds it. An entry whose try ends without a run is gone at once.
 */
final class IdempotencyTable {
    /** Repeats are found by when they were written; those still unread when the window ends get this long. */
    private static final long READ_LATE = 5_000_000;
    /** On sockets every limit of time is longer by this (PROTOCOL, "The rules on sockets"); us. */
    private static final long SLACK = 50_000;

    /** One key in the table. */
    static final class Entry {
        final String key;
        final Attempt owner;
        /** Until when the module keeps it; a read's entry lives by this alone. */
        long pinnedUntil;
        /** How the owner's run ended; null while it has not. */
        Kernel.End end;

        byte[] result;

        Entry(String key, Attempt owner) {
            this.key = key;
            this.owner = owner;
        }

        /** All tries of one keyed request carry the same body; another body claims a key not its own. */
        boolean sameBody(InboundRequest other) {
            return Arrays.equals(owner.submission.body(), other.body());
        }
    }

    private final Map<String, Entry> entries = new HashMap<>();
    private long[] windows;

    /** {@code windows}: by class, how long after its door a try that ran forbids another; 0 if reads. */
    IdempotencyTable(long[] windows) {
        retune(windows);
    }

    /** The windows of a retuned site, whose classes keep their index. */
    void retune(long[] next) {
        windows = next.clone();
    }

    /** How long after the door of a try of this class that ran no other may run; us. */
    long window(int kind) {
        return windows[kind] + SLACK;
    }

    static String keyOf(InboundRequest s) {
        if (s.idempotencyKey() != null) {
            // by the request alone: after a retune, its tries may come under a class of another name
            return "u " + s.idempotencyKey();
        }
        return s.cacheKey() == null ? null : "i " + s.requestClass() + ' ' + s.cacheKey();
    }

    /** The living entry that a new try repeats, or null. */
    Entry find(InboundRequest s, long now) {
        String key = keyOf(s);
        Entry entry = key == null ? null : entries.get(key);
        if (entry == null) {
            return null;
        }
        return (s.idempotencyKey() == null ? mayBeRead(entry, now) : forbids(entry, s)) ? entry : null;
    }

    private static boolean mayBeRead(Entry entry, long now) {
        return entry.end == null ? !entry.owner.answered() : entry.end == Kernel.End.OK && now < entry.pinnedUntil;
    }

    private boolean forbids(Entry entry, InboundRequest s) {
        return !entry.owner.everRan()
                || s.arrivalMicros()
                        <= entry.owner.submission.arrivalMicros()
                                + Math.max(window(s.requestClass()), window(entry.owner.submission.requestClass()));
    }

    Entry put(Attempt owner) {
        Entry entry = new Entry(keyOf(owner.submission), owner);
        entries.put(entry.key, entry);
        return entry;
    }

    /** Takes out the entry of a try that ended without a run, or that the module forgets. */
    void remove(Entry entry) {
        entries.remove(entry.key, entry);
    }

    /** Whether forgetting this entry could let a second try run. */
    private boolean mustStay(Entry entry, long now) {
        return entry.owner.submission.idempotencyKey() != null
                && entry.owner.everRan()
                && now
                        <= entry.owner.submission.arrivalMicros()
                                + window(entry.owner.submission.requestClass())
                                + READ_LATE;
    }

    boolean holds(Entry entry) {
        return entries.get(entry.key) == entry;
    }

    void sweep(long now) {
        entries.values().removeIf(e -> e.end != null && e.pinnedUntil < now && !mustStay(e, now));
    }
}
