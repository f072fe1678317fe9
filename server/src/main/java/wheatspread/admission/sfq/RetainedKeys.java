package wheatspread.admission.sfq;

import java.util.LinkedHashMap;
import java.util.Map;
import wheatspread.admission.AdmissionController.Actions;

/**
 * The keys that the server retains, with their expiry times, so that duplicates join the original request instead of
 * running. An idempotency key is retained for the class's window, at least until the deadline, plus the slack for the
 * answer. The key of a cacheable read is retained until its deadline plus the cache's time to live, and after a
 * successful answer for the time to live.
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

    /** Retains the key of a read for the cache's time to live if the read succeeded, or lets it expire if it failed. */
    void onCompletion(TrackedRequest tracked, boolean successful) {
        if (tracked.keyRetained && tracked.isIdempotent()) {
            long nowMicros = clock.nowMicros();
            expiryMicrosById.put(
                    tracked.id(), successful ? nowMicros + settings.current().cacheTtlMicros() : nowMicros);
        }
    }

    void releaseExpired(Actions actions) {
        long nowMicros = clock.nowMicros();
        expiryMicrosById.entrySet().removeIf(entry -> {
            boolean expired = entry.getValue() < nowMicros;
            if (expired) {
                actions.releaseKey(entry.getKey());
            }
            return expired;
        });
    }
}
