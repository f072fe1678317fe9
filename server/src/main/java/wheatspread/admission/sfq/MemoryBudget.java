package wheatspread.admission.sfq;

import wheatspread.admission.ServerLimits;

/**
 * Bounds on the memory that held requests, started requests and retained keys share, as shares of the server's memory
 * in kilobytes. Runs leave room for arrivals, and held requests leave room for a run on every core.
 */
final class MemoryBudget {
    /**
     * Share of the memory that runs beyond one per core and the keys of reads may use; the rest is reserved for
     * arrivals.
     */
    private static final double MAX_RUN_MEMORY_SHARE = 0.8;
    /** Share of the memory above which held requests are shed. */
    private static final double MAX_MEMORY_SHARE = 0.95;

    private final ReloadableSettings settings;
    private final ServerLimits limits;
    private final InFlightRequests inFlight;
    private final RetainedKeys keys;

    MemoryBudget(ReloadableSettings settings, InFlightRequests inFlight, RetainedKeys keys) {
        this.settings = settings;
        this.limits = settings.limits();
        this.inFlight = inFlight;
        this.keys = keys;
    }

    /**
     * Returns whether one more idempotency key fits; a request with an idempotency key must not run unless the key is
     * retained.
     */
    boolean hasRoomForRequiredKey() {
        return hasRoomForKey(MAX_MEMORY_SHARE);
    }

    /** Returns whether one more key of a cacheable read fits; retaining such a key is optional and only saves work. */
    boolean hasRoomForOptionalKey() {
        return hasRoomForKey(MAX_RUN_MEMORY_SHARE);
    }

    private boolean hasRoomForKey(double share) {
        return !(usedKb() + limits.idempotencyKeyKb() > limits.memoryKb() * share);
    }

    boolean isFull() {
        return usedKb() > limits.memoryKb() * MAX_MEMORY_SHARE;
    }

    /** Returns whether held requests leave too little memory to start one of them on every core that has no run. */
    boolean isHeldMemoryExceeded() {
        int held = inFlight.heldCount();
        int idleCores = Math.min(held, Math.max(0, settings.coreCount() - inFlight.startedCount()));
        double idleCoresKb =
                held <= 1 ? 0 : idleCores * (limits.runningMemoryFactor() - 1) * inFlight.heldMemoryKb() / held;
        return usedKb() + idleCoresKb > limits.memoryKb() * MAX_MEMORY_SHARE;
    }

    /** Returns whether a held request can be started. */
    boolean canStart(TrackedRequest tracked) {
        double additionalKb = tracked.request.heldKb() * (limits.runningMemoryFactor() - 1);
        double share = inFlight.startedCount() < settings.coreCount() ? MAX_MEMORY_SHARE : MAX_RUN_MEMORY_SHARE;
        return usedKb() + additionalKb <= limits.memoryKb() * share;
    }

    private double usedKb() {
        return inFlight.memoryKb() + keys.size() * limits.idempotencyKeyKb();
    }
}
