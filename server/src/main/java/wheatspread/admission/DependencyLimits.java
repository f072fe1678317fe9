package wheatspread.admission;

/**
 * What the dependency of this server's requests survives.
 *
 * @param kind what the dependency is
 * @param maxConcurrentCalls calls from this server that it survives, as a mean over the window; 0 for no bound
 * @param averagingWindowMicros the window of that mean
 * @param abandonedCallLingerMicros how long it works on a call after the caller gave it up
 */
public record DependencyLimits(
        DependencyKind kind, double maxConcurrentCalls, long averagingWindowMicros, long abandonedCallLingerMicros) {

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a value is out of bounds; the message names the setting
     */
    public DependencyLimits {
        SettingChecks.present("dependency kind", kind);
        SettingChecks.atLeast("callsOut", maxConcurrentCalls, 0);
        SettingChecks.atLeast("dependency window", averagingWindowMicros, 0);
        SettingChecks.atLeast("linger", abandonedCallLingerMicros, 0);
    }
}
