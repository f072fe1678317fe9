package wheatspread.fleet;

import wheatspread.fleet.FleetInstance.State;
import wheatspread.fleet.FleetPlan.RolloutPolicy;

/**
 * Verifies that an instance with a new build serves requests. Successful health checks are not sufficient: a build may
 * answer them and fail every request. The inputs are the counters of the last health check.
 */
final class RolloutVerification {
    /** The minimum number of answered requests for which the share of failed requests is evaluated. */
    private static final int MIN_REQUESTS_FOR_SHARE = 10;

    private final RolloutPolicy policy;

    RolloutVerification(RolloutPolicy policy) {
        this.policy = policy;
    }

    /**
     * Returns whether an instance has been healthy for {@code minHealthyMicros}, and has either served
     * {@code minServedRequests} or been healthy for {@code idleVerificationMicros}. The latter lets a rollout finish in
     * a fleet without requests.
     */
    boolean isVerified(FleetInstance instance, long nowMicros) {
        if (instance.state != State.HEALTHY || instance.health == null || instance.firstHealthyAtMicros == 0) {
            return false;
        }
        long healthyMicros = nowMicros - instance.firstHealthyAtMicros;
        if (healthyMicros < policy.minHealthyMicros()) {
            return false;
        }
        return instance.health.served() >= policy.minServedRequests()
                || healthyMicros >= policy.idleVerificationMicros();
    }

    /**
     * Returns whether the share of failed requests exceeds {@code maxFailedShare}; false if there are too few requests.
     */
    boolean failsTooManyRequests(FleetInstance instance) {
        if (instance.health == null) {
            return false;
        }
        long requests = instance.health.served() + instance.health.failed();
        return requests >= Math.max(MIN_REQUESTS_FOR_SHARE, policy.minServedRequests())
                && instance.health.failed() > policy.maxFailedShare() * requests;
    }
}
