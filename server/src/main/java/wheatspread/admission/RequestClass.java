package wheatspread.admission;

/** One class of requests; {@code degradedResponseWeight} is the part of the worth earned without the call. */
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
            throw new IllegalArgumentException("class aim: longer than the deadline");
        }
    }
}
