package wheatspread.admission.sfq;

import wheatspread.admission.AdmissionController.Actions;

/**
 * Decides which requests have their key retained. The idempotency key of a request is always retained; without it the
 * request must not run. The key of a cacheable read, whose answer may serve other requests, is retained while there is
 * room.
 */
final class KeyRetentionPolicy {
    private final ReloadableSettings settings;
    private final MemoryBudget memory;
    private final RetainedKeys keys;

    KeyRetentionPolicy(ReloadableSettings settings, MemoryBudget memory, RetainedKeys keys) {
        this.settings = settings;
        this.memory = memory;
        this.keys = keys;
    }

    /**
     * Retains the key of an arrival if that is required or useful.
     *
     * @return whether the request may run
     */
    boolean retainOnArrival(TrackedRequest tracked, Actions actions) {
        if (tracked.hasIdempotencyKey()) {
            if (!memory.hasRoomForRequiredKey()) {
                return false;
            }
            keys.retain(tracked, actions);
        } else if (isCacheableRead(tracked) && memory.hasRoomForOptionalKey()) {
            keys.retain(tracked, actions);
        }
        return true;
    }

    private boolean isCacheableRead(TrackedRequest tracked) {
        return settings.current().cacheTtlMicros() > 0
                && tracked.isIdempotent()
                && tracked.request.cacheable()
                && !tracked.request.write();
    }
}
