package wheatspread.admission;

/**
 * Properties of the clients and the advice that they follow.
 *
 * @param clientCount number of clients
 * @param feedbackMode how clients use the load feedback
 * @param feedbackHoldMicros how long clients follow a feedback value
 * @param maxRetryAfterMicros the maximum retry-after that clients follow; 0 if they follow none
 * @param healthChecksSteerTraffic whether an unhealthy answer keeps requests away from the server
 * @param idleTimeoutMicros time after which clients close an idle connection; 0 if unknown
 * @param connectionOpenCost cost of opening connections, per new connection and first attempt
 * @param idleConnectionsCost cost of an average of 100 open connections
 */
public record ClientSettings(
        int clientCount,
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
        SettingChecks.atLeast("callers", clientCount, 0);
        SettingChecks.present("advice", feedbackMode);
        SettingChecks.atLeast("heeded", feedbackHoldMicros, 0);
        SettingChecks.atLeast("maxStayAway", maxRetryAfterMicros, 0);
        SettingChecks.atLeast("idle", idleTimeoutMicros, 0);
        SettingChecks.atLeast("openingPrice", connectionOpenCost, 0);
        SettingChecks.atLeast("connectionPrice", idleConnectionsCost, 0);
    }
}
