package wheatspread.core;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import wheatspread.admission.Idempotency;
import wheatspread.admission.RequestClass;

/**
 * Maps each key to the attempt that owns it and to the end of that attempt's run. The entry of a request with an
 * idempotency key is created when the first attempt arrives, whether or not the admission controller retains it.
 * After the owner has run, the entry is kept for the class's idempotency window, so that no second attempt runs. If
 * the owner ends without a run, the entry is removed immediately. Entries of cacheable reads are kept only while the
 * controller retains them. Owned by the core's thread.
 */
final class IdempotencyTable {
    /**
     * Duplicates are matched by their arrival time; a duplicate that arrived within the window may be read up to this
     * long after the window has ended.
     */
    private static final long LATE_READ_ALLOWANCE_MICROS = 5_000_000;
    /** The platform adds this slack to every time limit if messages are sent over sockets. */
    private static final long SOCKET_SLACK_MICROS = 50_000;

    /** The entry of a key. */
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

        /** Returns the attempt whose run answers all attempts with this key. */
        Attempt owner() {
            return owner;
        }

        /** Returns how the owner's run ended; null before it has ended. */
        Kernel.End end() {
            return end;
        }

        /** Returns the result of the owner's run; null unless it ended {@link Kernel.End#OK}. */
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

        /** Ends the retention; a later sweep removes the entry once a second run is impossible. */
        void release() {
            retainedUntilMicros = 0;
        }

        /**
         * Returns whether a request has the body of the owner's request. All attempts of a request carry the same
         * body, so a different body means that another request uses the key.
         */
        boolean hasSameBody(InboundRequest request) {
            return Arrays.equals(owner.request().body(), request.body());
        }
    }

    private final Map<String, Entry> entries = new HashMap<>();
    private long[] windowMicrosByClass;
    private IdempotencyClaims claims = IdempotencyClaims.NONE;

    IdempotencyTable(DeploymentSettings settings) {
        applySettings(settings);
    }

    /** Applies the idempotency windows of new settings, in which existing classes must keep their index. */
    void applySettings(DeploymentSettings settings) {
        windowMicrosByClass = settings.settings().classes().stream()
                .mapToLong(IdempotencyTable::windowOf)
                .toArray();
    }

    private static long windowOf(RequestClass requestClass) {
        return requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY ? requestClass.idempotencyWindowMicros() : 0;
    }

    /** Sets the claims that this process shares with another process of this server. */
    void shareClaims(IdempotencyClaims shared) {
        claims = shared;
    }

    /**
     * Returns the time in microseconds after the arrival of an attempt that ran, during which no other attempt with the
     * same key may run.
     */
    private long windowMicros(int requestClass) {
        return windowMicrosByClass[requestClass] + SOCKET_SLACK_MICROS;
    }

    /** Returns the key of a request in the table; null if the request has no key. */
    static String keyOf(InboundRequest request) {
        if (request.idempotencyKey() != null) {
            // the key omits the class, since after a reload later attempts may use a class of another name
            return "u " + request.idempotencyKey();
        }
        return request.cacheKey() == null ? null : "i " + request.requestClass() + ' ' + request.cacheKey();
    }

    /** Returns the valid entry that a new attempt duplicates, or null. */
    Entry find(InboundRequest request, long nowMicros) {
        String key = keyOf(request);
        Entry entry = key == null ? null : entries.get(key);
        if (entry == null) {
            return null;
        }
        boolean valid = request.idempotencyKey() == null ? canAnswerRead(entry, nowMicros) : forbidsRun(entry, request);
        return valid ? entry : null;
    }

    private static boolean canAnswerRead(Entry entry, long nowMicros) {
        if (entry.end == null) {
            return !entry.owner.answered();
        }
        return entry.end == Kernel.End.OK && nowMicros < entry.retainedUntilMicros;
    }

    private boolean forbidsRun(Entry entry, InboundRequest request) {
        if (!entry.owner.everRan()) {
            return true;
        }
        InboundRequest ownerRequest = entry.owner.request();
        long longerWindowMicros =
                Math.max(windowMicros(request.requestClass()), windowMicros(ownerRequest.requestClass()));
        return request.arrivalMicros() <= ownerRequest.arrivalMicros() + longerWindowMicros;
    }

    /** Makes this attempt the owner of its key. */
    Entry put(Attempt owner) {
        Entry entry = new Entry(keyOf(owner.request()), owner);
        entries.put(entry.key, entry);
        return entry;
    }

    /** Removes an entry, whose owner must have ended without a run. */
    void remove(Entry entry) {
        entries.remove(entry.key, entry);
    }

    /**
     * Ensures that an attempt has a valid entry for its key. If the owner that the attempt duplicated ended without
     * a run, the attempt becomes the owner, unless another duplicate has become the owner before.
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

    /** Returns whether an attempt has an idempotency key that the run of another attempt answers. */
    boolean isDuplicate(Attempt attempt, long nowMicros) {
        if (attempt.request().idempotencyKey() == null) {
            return false;
        }
        ensureValidEntry(attempt, nowMicros);
        return !attempt.ownsKeyEntry();
    }

    /** Claims an attempt's idempotency key for this process; returns false if another process has claimed it. */
    boolean claim(Attempt attempt) {
        InboundRequest request = attempt.request();
        return request.idempotencyKey() == null
                || claims.claim(attempt.keyEntry().key, request.arrivalMicros(), windowMicros(request.requestClass()));
    }

    /** Claims an attempt's id for this process; returns false if another process has claimed it. */
    boolean claimAttempt(InboundRequest request, long windowMicros) {
        return claims.claim("a " + request.job(), request.arrivalMicros(), windowMicros + SOCKET_SLACK_MICROS);
    }

    /** Removes the entries of ended runs that are neither retained nor needed to prevent a second run. */
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
