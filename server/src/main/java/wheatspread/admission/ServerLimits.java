package wheatspread.admission;

/**
 * The load that the server can take without failing.
 *
 * @param memoryKb memory for requests and keys, in kilobytes
 * @param runningMemoryFactor memory of a started request, as a multiple of that of a held one
 * @param idempotencyKeyKb memory of a retained key, in kilobytes
 * @param overloadMultiple maximum of started requests per core that a warm server can run without failing
 * @param coldSpeedFloor minimum speed of a cold process, as a share of its full speed
 * @param warmUpMicros time until a cold process has its full speed
 * @param answerSlackMicros time that an answer may take to reach the client after the deadline
 * @param drainGraceMicros time after the drain notice within which requests that arrive are still run
 */
public record ServerLimits(
        double memoryKb,
        double runningMemoryFactor,
        double idempotencyKeyKb,
        double overloadMultiple,
        double coldSpeedFloor,
        long warmUpMicros,
        long answerSlackMicros,
        long drainGraceMicros) {

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a value is out of bounds; the message names the setting
     */
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
