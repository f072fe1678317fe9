package wheatspread.fleet;

import java.util.List;

/**
 * The operator's settings for a fleet, read from the fleet's file; {@code FleetConfig} defines their keys and defaults.
 * Times are microseconds.
 *
 * @param instances the instance names, in the order in which instances are started and replaced
 * @param build the label of the build that instances start with
 * @param maxConcurrentStarts the maximum number of instances that are starting at a time, outside rollouts
 * @param startTimeoutMicros an instance that is not healthy this long after its start is killed
 * @param stopTimeoutMicros an instance that has not exited this long after SIGTERM is killed
 * @param staleAfterMicros an instance whose last answered health check is older than this is stale
 * @param unhealthyThreshold an instance is unhealthy after this many consecutive failed health checks
 * @param unresponsiveTimeoutMicros an instance that answers no health check for this long is killed; 0 for never
 * @param startConfirmationMicros how long a new supervisor waits for the process of a recorded start to take its lock,
 *     if it is unknown whether the start was carried out
 */
public record FleetPlan(
        List<String> instances,
        String build,
        int maxConcurrentStarts,
        long startTimeoutMicros,
        long stopTimeoutMicros,
        long staleAfterMicros,
        int unhealthyThreshold,
        long unresponsiveTimeoutMicros,
        long startConfirmationMicros,
        RolloutPolicy rollout,
        BackoffPolicy backoff) {
    /** Copies the list of names. */
    public FleetPlan {
        instances = List.copyOf(instances);
    }

    /**
     * The settings of a rollout.
     *
     * @param maxUnavailableShare the largest share of the fleet that may be unavailable at a time, for any reason
     * @param maxUnavailableCount the largest number of instances that may be unavailable at a time; 0 for no limit
     * @param minServedRequests the number of served requests after which a new instance is verified
     * @param minHealthyMicros the minimum time that a new instance must be healthy before it is verified
     * @param idleVerificationMicros a new instance that has been healthy for this long is verified even without
     *     requests
     * @param maxFailedShare a new instance that fails a larger share of its requests counts as failed
     * @param maxFailedInstances the rollout ends after this many failed instances
     * @param automaticRollback whether the old build is restored after that many failures
     */
    public record RolloutPolicy(
            double maxUnavailableShare,
            int maxUnavailableCount,
            int minServedRequests,
            long minHealthyMicros,
            long idleVerificationMicros,
            double maxFailedShare,
            int maxFailedInstances,
            boolean automaticRollback) {
        /** Tolerance for products of share and size that should be integers, such as 0.1 * 30. */
        private static final double ROUNDING_TOLERANCE = 1e-9;

        /**
         * Returns how many instances of a fleet may be unavailable at a time: the smaller of the two limits, but at
         * least 1, since otherwise no rollout could start.
         */
        public int maxUnavailable(int fleetSize) {
            int byShare = Math.max(1, (int) Math.floor(maxUnavailableShare * fleetSize + ROUNDING_TOLERANCE));
            return maxUnavailableCount == 0 ? byShare : Math.min(maxUnavailableCount, byShare);
        }
    }

    /**
     * The settings of {@link RestartBackoff}, which decides when an instance that exited is restarted.
     *
     * @param initialDelayMicros the delay before the first restart
     * @param multiplier the factor by which the delay grows with each further exit
     * @param maxDelayMicros the longest delay, before jitter
     * @param jitterShare each delay is changed at random by up to this share in either direction
     * @param resetAfterMicros after an instance ran for this long, its next delay is the initial one
     * @param crashLoopExits this many exits within {@code crashLoopWindowMicros} are a crash loop
     * @param crashLoopHoldMicros how long an instance in a crash loop is held; 0 if only an operator ends the hold
     */
    public record BackoffPolicy(
            long initialDelayMicros,
            double multiplier,
            long maxDelayMicros,
            double jitterShare,
            long resetAfterMicros,
            int crashLoopExits,
            long crashLoopWindowMicros,
            long crashLoopHoldMicros) {}
}
