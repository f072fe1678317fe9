package wheatspread.admission;

/**
 * What callers can be told; {@code maxRetryAfterMicros} is 0 where they pass no such advice on. They close a
 * connection unused for {@code idleTimeoutMicros}, 0 where that is not known; the prices are those of an opening for
 * each first try and of a hundred connections kept open.
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
