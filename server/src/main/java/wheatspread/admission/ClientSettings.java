package wheatspread.admission;

/**
 * What the clients do and which advice they follow.
 *
 * @param count how many clients there are
 * @param feedbackMode what they make of the load feedback
 * @param feedbackHoldMicros how long they follow a feedback value
 * @param maxRetryAfterMicros the longest retry-after advice that they pass on; 0 if they pass on none
 * @param healthChecksSteerTraffic whether a bad health answer keeps requests away
 * @param idleTimeoutMicros time after which they close an idle connection; 0 if unknown
 * @param connectionOpenCost cost of opening connections, per new connection and first attempt
 * @param idleConnectionsCost cost of a mean of a hundred open connections
 */
public record ClientSettings(
        int count,
        LoadFeedbackMode feedbackMode,
        long feedbackHoldMicros,
        long maxRetryAfterMicros,
        boolean healthChecksSteerTraffic,
        long idleTimeoutMicros,
        double connectionOpenCost,
        double idleConnectionsCost) {

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a value is out of bounds; the message names the setting
     */
    public ClientSettings {
        SettingChecks.atLeast("callers", count, 0);
        SettingChecks.present("advice", feedbackMode);
        SettingChecks.atLeast("heeded", feedbackHoldMicros, 0);
        SettingChecks.atLeast("maxStayAway", maxRetryAfterMicros, 0);
        SettingChecks.atLeast("idle", idleTimeoutMicros, 0);
        SettingChecks.atLeast("openingPrice", connectionOpenCost, 0);
        SettingChecks.atLeast("connectionPrice", idleConnectionsCost, 0);
    }
}
