package wheatspread.admission.sfq;

import wheatspread.admission.AdmissionController.Actions;

/**
 * What health checks hear: bad while draining, and while overloaded unless the whole fleet is flooded. Under a flood
 * each server that left the load balancer would overload the next.
 */
final class HealthReporter {
    /**
     * Arrival rate, as a multiple of an average server's part of all quotas, above which the fleet counts as flooded.
     * Quotas may promise half of what the fleet can serve, and load may exceed that by a quarter.
     */
    private static final double FLOOD_FACTOR = 2.5;

    private static final long MICROS_PER_SECOND = 1_000_000;

    private final ReloadableSettings settings;
    private final DrainWindow drain;
    private final OverloadDetector overload;
    private final ArrivalRate arrivalRate;
    private final double totalQuotaPerSecond;
    private boolean reportedHealthy = true;

    HealthReporter(
            ReloadableSettings settings,
            DrainWindow drain,
            OverloadDetector overload,
            ArrivalRate arrivalRate,
            double totalQuotaPerSecond) {
        this.settings = settings;
        this.drain = drain;
        this.overload = overload;
        this.arrivalRate = arrivalRate;
        this.totalQuotaPerSecond = totalQuotaPerSecond;
    }

    /** Reports a new process as healthy. */
    void reportInitially(Actions actions) {
        actions.setHealth(true, true);
    }

    void update(Actions actions) {
        boolean healthy = !drain.isDraining() && !(overload.isOverloaded() && !isFleetFlooded());
        if (healthy != reportedHealthy) {
            reportedHealthy = healthy;
            actions.setHealth(healthy, true);
        }
    }

    private boolean isFleetFlooded() {
        double fleetRate = arrivalRate.meanPerTick() * settings.current().servers() * MICROS_PER_SECOND;
        double floodRate = FLOOD_FACTOR * totalQuotaPerSecond * DecisionClock.TICK_MICROS;
        return totalQuotaPerSecond != 0 && !(fleetRate <= floodRate);
    }
}
