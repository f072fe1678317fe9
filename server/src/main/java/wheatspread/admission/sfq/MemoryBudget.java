package wheatspread.admission.sfq;

import wheatspread.admission.ServerLimits;

/**
 * Bounds on the memory that held requests, started requests and retained keys share, as shares of the server's memory
 * in kilobytes. Runs leave room for arrivals; held requests leave room to occupy every core.
 */
final class MemoryBudget {
    /** Share that runs beyond one a core, and keys of reads, may fill; the rest is room for arrivals. */
    private static final double RUN_SHARE = 0.8;
    /** Share above which held requests are shed. */
    private static final double FULL_SHARE = 0.95;

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

    /** Whether one more key fits that the rules require. */
    boolean hasRoomForRequiredKey() {
        return hasRoomForKey(FULL_SHARE);
    }

    /** Whether one more key fits that only saves work. */
    boolean hasRoomForOptionalKey() {
        return hasRoomForKey(RUN_SHARE);
    }

    private boolean hasRoomForKey(double share) {
        return !(usedKb() + limits.idempotencyKeyKb() > limits.memoryKb() * share);
    }

    boolean isFull() {
        return usedKb() > limits.memoryKb() * FULL_SHARE;
    }

    /** Whether held requests leave too little memory to start one on every core that has none. */
    boolean isHeldMemoryExceeded() {
        int held = inFlight.held();
        int idleCores = Math.min(held, Math.max(0, settings.cores() - inFlight.started()));
        double idleCoresKb =
                held <= 1 ? 0 : idleCores * (limits.runningMemoryFactor() - 1) * inFlight.heldMemoryKb() / held;
        return usedKb() + idleCoresKb > limits.memoryKb() * FULL_SHARE;
    }

    /** Whether a held request can be started. */
    boolean canStart(TrackedRequest tracked) {
        double additionalKb = tracked.request.heldKb() * (limits.runningMemoryFactor() - 1);
        double share = inFlight.started() < settings.cores() ? FULL_SHARE : RUN_SHARE;
        return usedKb() + additionalKb <= limits.memoryKb() * share;
    }

    private double usedKb() {
        return inFlight.memoryKb() + keys.size() * limits.idempotencyKeyKb();
    }
}
