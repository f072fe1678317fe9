package wheatspread.fleet;

import java.util.List;

/**
 * What operators set for a fleet, from the fleet's file; {@code FleetConfig} has its keys and defaults. Times are
 * microseconds.
 *
 * @param instances the names, in the order in which they are started and replaced
 * @param build the label of the build that instances start with
 * @param maxConcurrentStarts how many may be starting together when the fleet comes up
 * @param startTimeoutMicros an instance that is not healthy this long after its start is killed
 * @param stopTimeoutMicros an instance that has not exited this long after SIGTERM is killed
 * @param staleAfterMicros an instance whose last answered health check is older than this is stale
 * @param unhealthyThreshold an instance is unhealthy after this many failed health checks in a row
 * @param unresponsiveTimeoutMicros an instance that answers no health check for this long is killed; 0 for never
 * @param startConfirmationMicros how long a recorded start, of which an earlier supervisor did not record whether it
 *     was carried out, may take to show itself by its lock
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
    /** Keeps a copy of the names. */
    public FleetPlan {
        instances = List.copyOf(instances);
    }

    /**
     * How one build replaces another.
     *
     * @param maxUnavailableShare the share of the fleet that may be unavailable at a time, for whatever reason
     * @param maxUnavailableCount how many instances may be unavailable at a time; 0 for no such bound
     * @param minServedRequests how many served requests verify a new instance
     * @param minHealthyMicros how long it must have been healthy before it counts as verified
     * @param idleVerificationMicros being healthy for this long verifies it too, where no requests come
     * @param maxFailedShare a new instance that fails a larger share of its requests counts as failed
     * @param maxFailedInstances the rollout ends after this many failed instances
     * @param automaticRollback whether the old build is put back then
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
        /** So that a share times a size that is whole but for rounding, such as 0.1 * 30, counts as whole. */
        private static final double ROUNDING_ERROR = 1e-9;

        /**
         * How many instances of a fleet may be unavailable together: the smaller of the two bounds, and at least one,
         * or no rollout could begin.
         */
        public int maxUnavailable(int fleetSize) {
            int byShare = Math.max(1, (int) Math.floor(maxUnavailableShare * fleetSize + ROUNDING_ERROR));
            return maxUnavailableCount == 0 ? byShare : Math.min(maxUnavailableCount, byShare);
        }
    }

    /**
     * When instances that exited start again; the rule is that of {@link RestartBackoff}.
     *
     * @param initialDelayMicros the delay before the first restart
     * @param multiplier by which the delay grows with each further exit
     * @param maxDelayMicros the longest delay, before jitter
     * @param jitterShare delays are spread by up to this share in both directions
     * @param resetAfterMicros an instance that ran for this long starts from the initial delay again
     * @param crashLoopExits this many exits within {@code crashLoopWindowMicros} are a crash loop
     * @param crashLoopHoldMicros how long an instance in a crash loop is not restarted; 0 until an operator starts it
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
