package wheatspread.admission;

/** What the server dies of; {@code coldSpeedFloor} is the least speed of a cold process. */
public record ServerLimits(
        double memoryKb,
        double runningMemoryFactor,
        double idempotencyKeyKb,
        double overloadMultiple,
        double coldSpeedFloor,
        long warmUpMicros,
        long answerSlackMicros,
        long drainGraceMicros) {
    public ServerLimits {
        SettingChecks.atLeast("memoryKb", memoryKb, 1);
        SettingChecks.atLeast("runFactor", runningMemoryFactor, 1);
        SettingChecks.atLeast("keyKb", idempotencyKeyKb, 0);
        SettingChecks.atLeast("tipMultiple", overloadMultiple, 1);
        SettingChecks.atLeast("speedFloor", coldSpeedFloor, 0);
        SettingChecks.atLeast("coldFor", warmUpMicros, 0);
        SettingChecks.atLeast("answerSlack", answerSlackMicros, 0);
        SettingChecks.atLeast("drainGrace", drainGraceMicros, 0);
        SettingChecks.atMost("speedFloor", coldSpeedFloor, 1);
    }
}
