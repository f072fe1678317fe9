package wheatspread.admission.sfq;

import java.util.LinkedHashMap;
import java.util.Map;
import wheatspread.admission.AdmissionController.Actions;

/**
 * How long the host remembers the key of a request, so that repeats join it instead of running. An idempotency key
 * is kept for the class's window, at least to the deadline, plus the slack for its answer; the key of a cacheable
 * read until its deadline plus the cache's time to live, then for that time after a successful answer.
 */
final class RetainedKeys {
    private final ReloadableSettings settings;
    private final DecisionClock clock;
    private final Map<Long, Long> expiryMicrosById = new LinkedHashMap<>();

    RetainedKeys(ReloadableSettings settings, DecisionClock clock) {
        this.settings = settings;
        this.clock = clock;
    }

    int size() {
        return expiryMicrosById.size();
    }

    void retain(TrackedRequest tracked, Actions actions) {
        long expiryMicros = tracked.hasIdempotencyKey()
                ? tracked.arrivalMicros
                        + Math.max(
                                tracked.requestClass.idempotencyWindowMicros(), tracked.requestClass.deadlineMicros())
                        + settings.limits().answerSlackMicros()
                : tracked.deadlineMicros + settings.current().cacheTtlMicros();
        actions.retainKey(tracked.id(), expiryMicros - clock.nowMicros());
        expiryMicrosById.put(tracked.id(), expiryMicros);
        tracked.keyRetained = true;
    }

    void release(TrackedRequest tracked, Actions actions) {
        if (tracked.keyRetained) {
            actions.releaseKey(tracked.id());
            expiryMicrosById.remove(tracked.id());
        }
    }

    /** Keeps the answer of a read for the cache's time to live, or lets it expire if the read failed. */
    void onCompletion(TrackedRequest tracked, boolean successful) {
        if (tracked.keyRetained && tracked.isIdempotent()) {
            long now = clock.nowMicros();
            expiryMicrosById.put(
                    tracked.id(), successful ? now + settings.current().cacheTtlMicros() : now);
        }
    }

    void releaseExpired(Actions actions) {
        long now = clock.nowMicros();
        expiryMicrosById.entrySet().removeIf(entry -> {
            boolean expired = entry.getValue() < now;
            if (expired) {
                actions.releaseKey(entry.getKey());
            }
            return expired;
        });
    }
}
