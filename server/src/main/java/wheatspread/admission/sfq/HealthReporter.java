package wheatspread.admission.sfq;

import wheatspread.admission.AdmissionController.Actions;

/**
 * Sets the answer to health checks: the answer is unhealthy while the server drains, and while this server is
 * overloaded but the fleet as a whole is not. During an overload of the whole fleet, each server that the load balancer
 * takes out would overload the remaining servers further.
 */
final class HealthReporter {
    /**
     * Arrival rate, as a multiple of an average server's share of all quotas, above which the whole fleet counts as
     * overloaded. The sum of quotas may be as low as half of what the fleet can serve, and load may exceed that
     * capacity by a quarter.
     */
    private static final double FLEET_OVERLOAD_FACTOR = 2.5;

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

    /** Reports the process as healthy at its start. */
    void reportInitially(Actions actions) {
        actions.setHealth(true, true);
    }

    void update(Actions actions) {
        boolean healthy = !drain.isDraining() && !(overload.isOverloaded() && !isFleetOverloaded());
        if (healthy != reportedHealthy) {
            reportedHealthy = healthy;
            actions.setHealth(healthy, true);
        }
    }

    private boolean isFleetOverloaded() {
        double fleetRate = arrivalRate.meanPerTick() * settings.current().serverCount() * MICROS_PER_SECOND;
        double overloadRate = FLEET_OVERLOAD_FACTOR * totalQuotaPerSecond * DecisionClock.TICK_MICROS;
        return totalQuotaPerSecond != 0 && !(fleetRate <= overloadRate);
    }
}
