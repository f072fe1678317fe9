package wheatspread.core;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import wheatspread.admission.Idempotency;
import wheatspread.admission.RequestClass;

/**
 * Which attempt owns a key, and how its run ended. The entry of a request with an idempotency key exists from the
 * arrival of the first attempt, whether or not the admission controller retains it. Once the owner ran, the entry
 * stays for the class's idempotency window, so that no second attempt runs; if the owner ends without a run, the
 * entry is removed at once. Entries of cacheable reads live only as long as the controller retains them.
 * Owned by the core's thread.
 */
final class IdempotencyTable {
    /**
     * Duplicates are found by their arrival time; one that arrived within the window may be read this much later.
     */
    private static final long LATE_READ_ALLOWANCE_MICROS = 5_000_000;
    /** The platform adds this to every time limit where messages go over sockets. */
    private static final long SOCKET_SLACK_MICROS = 50_000;

    /** One key in the table. */
    static final class Entry {
        private final String key;
        private final Attempt owner;
        private long retainedUntilMicros;
        private Kernel.End end;
        private byte[] result;

        private Entry(String key, Attempt owner) {
            this.key = key;
            this.owner = owner;
        }

        /** The attempt whose run answers all attempts with this key. */
        Attempt owner() {
            return owner;
        }

        /** How the owner's run ended; null while it has not. */
        Kernel.End end() {
            return end;
        }

        /** The result of the owner's run; null unless it ended {@link Kernel.End#OK}. */
        byte[] result() {
            return result;
        }

        void runEnded(Kernel.End runEnd, byte[] runResult) {
            end = runEnd;
            result = runResult;
        }

        /** Keeps the entry at least until this Unix time in microseconds. */
        void retainUntil(long untilMicros) {
            retainedUntilMicros = untilMicros;
        }

        /** Leaves the entry to the next sweep, which removes it once no second run can follow. */
        void release() {
            retainedUntilMicros = 0;
        }

        /** All attempts of one request carry the same body; with another body the key belongs to another request. */
        boolean hasSameBody(InboundRequest other) {
            return Arrays.equals(owner.request().body(), other.body());
        }
    }

    private final Map<String, Entry> entries = new HashMap<>();
    private long[] windowMicrosByClass;
    private IdempotencyClaims claims = IdempotencyClaims.NONE;

    IdempotencyTable(DeploymentSettings settings) {
        applySettings(settings);
    }

    /** Takes the windows of new settings, in which the classes keep their index. */
    void applySettings(DeploymentSettings settings) {
        windowMicrosByClass = settings.settings().classes().stream()
                .mapToLong(IdempotencyTable::windowOf)
                .toArray();
    }

    private static long windowOf(RequestClass requestClass) {
        return requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY ? requestClass.idempotencyWindowMicros() : 0;
    }

    /** Shares the claims on keys with another process of this server. */
    void shareClaims(IdempotencyClaims shared) {
        claims = shared;
    }

    /** How long after the arrival of an attempt of this class that ran no other may run, in microseconds. */
    private long windowMicros(int requestClass) {
        return windowMicrosByClass[requestClass] + SOCKET_SLACK_MICROS;
    }

    /** The key of a request in the table; null if it has none. */
    static String keyOf(InboundRequest request) {
        if (request.idempotencyKey() != null) {
            // without the class: after a reload, later attempts may come under a class of another name
            return "u " + request.idempotencyKey();
        }
        return request.cacheKey() == null ? null : "i " + request.requestClass() + ' ' + request.cacheKey();
    }

    /** The valid entry that a new attempt duplicates, or null. */
    Entry find(InboundRequest request, long nowMicros) {
        String key = keyOf(request);
        Entry entry = key == null ? null : entries.get(key);
        if (entry == null) {
            return null;
        }
        boolean valid = request.idempotencyKey() == null ? isReadable(entry, nowMicros) : forbidsRun(entry, request);
        return valid ? entry : null;
    }

    private static boolean isReadable(Entry entry, long nowMicros) {
        if (entry.end == null) {
            return !entry.owner.answered();
        }
        return entry.end == Kernel.End.OK && nowMicros < entry.retainedUntilMicros;
    }

    private boolean forbidsRun(Entry entry, InboundRequest request) {
        if (!entry.owner.everRan()) {
            return true;
        }
        InboundRequest first = entry.owner.request();
        long window = Math.max(windowMicros(request.requestClass()), windowMicros(first.requestClass()));
        return request.arrivalMicros() <= first.arrivalMicros() + window;
    }

    /** Makes this attempt the owner of its key. */
    Entry put(Attempt owner) {
        Entry entry = new Entry(keyOf(owner.request()), owner);
        entries.put(entry.key, entry);
        return entry;
    }

    /** Removes an entry whose owner ended without a run. */
    void remove(Entry entry) {
        entries.remove(entry.key, entry);
    }

    /**
     * Gives an attempt a valid entry for its key: where the owner that it duplicated ended without a run, it
     * becomes the owner itself, unless another duplicate has become so first.
     */
    void ensureValidEntry(Attempt attempt, long nowMicros) {
        if (hasValidEntry(attempt)) {
            return;
        }
        Entry valid = find(attempt.request(), nowMicros);
        attempt.setKeyEntry(valid == null ? put(attempt) : valid);
    }

    private boolean hasValidEntry(Attempt attempt) {
        Entry entry = attempt.keyEntry();
        if (entry == null) {
            return false;
        }
        return attempt.ownsKeyEntry()
                || entries.get(entry.key) == entry
                || attempt.request().idempotencyKey() != null && entry.owner.everRan();
    }

    /** Whether the run of another attempt answers this one, which has an idempotency key. */
    boolean isDuplicate(Attempt attempt, long nowMicros) {
        if (attempt.request().idempotencyKey() == null) {
            return false;
        }
        ensureValidEntry(attempt, nowMicros);
        return !attempt.ownsKeyEntry();
    }

    /** Whether no other process has run this attempt's idempotency key; if so, the key is claimed for this one. */
    boolean claim(Attempt attempt) {
        InboundRequest request = attempt.request();
        return request.idempotencyKey() == null
                || claims.claim(attempt.keyEntry().key, request.arrivalMicros(), windowMicros(request.requestClass()));
    }

    /** Removes the ended entries that are neither retained nor needed against a second run. */
    void sweep(long nowMicros) {
        entries.values()
                .removeIf(entry -> entry.end != null
                        && entry.retainedUntilMicros < nowMicros
                        && !preventsSecondRun(entry, nowMicros));
    }

    private boolean preventsSecondRun(Entry entry, long nowMicros) {
        InboundRequest request = entry.owner.request();
        return request.idempotencyKey() != null
                && entry.owner.everRan()
                && nowMicros
                        <= request.arrivalMicros() + windowMicros(request.requestClass()) + LATE_READ_ALLOWANCE_MICROS;
    }
}
