package wheatspread.admission;

/** What requests call: the calls it survives from this server, averaged over {@code averagingWindowMicros}. */
public record DependencyLimits(
        DependencyKind kind, double maxConcurrentCalls, long averagingWindowMicros, long abandonedCallLingerMicros) {
    public DependencyLimits {
        SettingChecks.present("dependency kind", kind);
        SettingChecks.atLeast("callsOut", maxConcurrentCalls, 0);
        SettingChecks.atLeast("dependency window", averagingWindowMicros, 0);
        SettingChecks.atLeast("linger", abandonedCallLingerMicros, 0);
    }
}
