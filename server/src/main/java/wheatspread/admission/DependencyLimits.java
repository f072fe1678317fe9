package wheatspread.admission;

/**
 * The load that the dependency of this server's requests can take.
 *
 * @param kind kind of the dependency
 * @param maxConcurrentCalls maximum concurrent calls from this server, as a mean over the window; 0 for no bound
 * @param averagingWindowMicros the window of that mean
 * @param abandonedCallLingerMicros time for which the dependency works on a call after the server abandoned it
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
