package wheatspread.admission;

/**
 * A class of requests.
 *
 * @param latencyObjectiveMicros time from arrival within which an answer has the full weight
 * @param objectiveStretch extension of the latency objective per unit of expected work
 * @param deadlineMicros time from arrival within which a request is answered
 * @param idempotency how often a request may take effect
 * @param weight priority weight of an answer
 * @param lateWeightFactor share of the weight that an answer after the objective has
 * @param idempotencyWindowMicros time within which a duplicate with the same idempotency key takes no effect
 * @param callsDependency whether requests may call the dependency
 * @param degradedResponseWeight share of the weight that an answer without the call has; 0 if the call is mandatory
 */
public record RequestClass(
        long latencyObjectiveMicros,
        double objectiveStretch,
        long deadlineMicros,
        Idempotency idempotency,
        double weight,
        double lateWeightFactor,
        long idempotencyWindowMicros,
        boolean callsDependency,
        double degradedResponseWeight) {

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a value is out of bounds; the message names the setting
     */
    public RequestClass {
        SettingChecks.atLeast("class deadline", deadlineMicros, 1);
        SettingChecks.atLeast("class aim", latencyObjectiveMicros, 1);
        SettingChecks.atLeast("class aimStretch", objectiveStretch, 0);
        SettingChecks.atLeast("class worth", weight, 0);
        SettingChecks.atLeast("class lateWorth", lateWeightFactor, 0);
        SettingChecks.atLeast("class window", idempotencyWindowMicros, 0);
        SettingChecks.atLeast("class skipWorth", degradedResponseWeight, 0);
        SettingChecks.atMost("class lateWorth", lateWeightFactor, 1);
        SettingChecks.atMost("class skipWorth", degradedResponseWeight, 1);
        SettingChecks.present("class effect", idempotency);
        if (latencyObjectiveMicros > deadlineMicros) {
            throw new IllegalArgumentException("class aim: " + latencyObjectiveMicros
                    + " us is longer than the deadline of " + deadlineMicros + " us");
        }
    }
}
