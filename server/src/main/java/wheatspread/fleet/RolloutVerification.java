package wheatspread.fleet;

import wheatspread.fleet.FleetInstance.State;
import wheatspread.fleet.FleetPlan.RolloutPolicy;

/**
 * Whether an instance shows by its requests that its new build serves. Health checks alone say little: a build may
 * answer them and fail every request. The inputs are the counters of the last health check.
 */
final class RolloutVerification {
    /** With fewer answered requests than this the share of failed ones says nothing. */
    private static final int MIN_REQUESTS_FOR_SHARE = 10;

    private final RolloutPolicy policy;

    RolloutVerification(RolloutPolicy policy) {
        this.policy = policy;
    }

    /**
     * Rule: healthy for {@code minHealthyMicros}, and either {@code minServedRequests} served or healthy for
     * {@code idleVerificationMicros}, so that a rollout also ends in a fleet without requests.
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

    /** Rule: it failed a larger share of its requests than {@code maxFailedShare}, of enough requests for a verdict. */
    boolean failsTooManyRequests(FleetInstance instance) {
        if (instance.health == null) {
            return false;
        }
        long requests = instance.health.served() + instance.health.failed();
        return requests >= Math.max(MIN_REQUESTS_FOR_SHARE, policy.minServedRequests())
                && instance.health.failed() > policy.maxFailedShare() * requests;
    }
}
