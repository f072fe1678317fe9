package wheatspread.core;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of started attempts whose requests must not take effect twice although they have no idempotency key. An id is
 * kept after its attempt has ended, since a client that was disconnected may send the same attempt again.
 * Owned by the core's thread.
 */
final class StartedAttempts {
    /** The maximum number of ids; the oldest is dropped for a new one. Bounds memory, far above the usual load. */
    static final int MAX_IDS = 20_000;

    /** The times until which ids are kept, in microseconds, in the order of the starts. */
    private final Map<String, Long> expiryMicrosById = new LinkedHashMap<>();

    private long dropped;

    /** Adds the id of an attempt that is started now; it is kept for {@code retentionMicros}. */
    void add(String attemptId, long nowMicros, long retentionMicros) {
        removeOldest(nowMicros);
        expiryMicrosById.put(attemptId, nowMicros + retentionMicros);
    }

    private void removeOldest(long nowMicros) {
        Iterator<Long> expiries = expiryMicrosById.values().iterator();
        while (expiries.hasNext()) {
            boolean expired = expiries.next() < nowMicros;
            if (!expired && expiryMicrosById.size() < MAX_IDS) {
                return;
            }
            dropped += expired ? 0 : 1;
            expiries.remove();
        }
    }

    /** Returns whether an attempt with this id was started and is still kept. */
    boolean contains(String attemptId, long nowMicros) {
        Long expiryMicros = expiryMicrosById.get(attemptId);
        return expiryMicros != null && nowMicros <= expiryMicros;
    }

    int size() {
        return expiryMicrosById.size();
    }

    /** Returns the number of ids that were dropped before their time. */
    long dropped() {
        return dropped;
    }
}
