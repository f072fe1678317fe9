package wheatspread.lab.scale;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/** The faults that a scale run injects, in the order in which it injects them. */
public enum FaultKind {
    /** One hollow server crashes: it closes its sockets without notifying its peers. */
    CRASH(30, false),
    /** {@link #RACK_SIZE} hollow servers of one zone crash at the same time. */
    RACK(45, false),
    /** Members restart at {@link #DAILY_RESTARTS_PER_SECOND}. */
    RESTARTS_DAILY(60, true),
    /** Members restart at sixty times the daily rate, as during a release. */
    RESTARTS_RELEASE(60, false),
    /** Every link loses 20% of its messages. */
    LOSS20(45, false),
    /** All servers of one zone, an eighth of the fleet, crash at the same time. */
    ZONE(60, false),
    /** All members that the run has crashed so far start again at the same time. */
    RETURN(60, false),
    /**
     * A network partition separates the fleet into two halves, then heals. The second half may be one member larger.
     */
    HALVES(60, false);

    /** Number of servers in a rack. */
    static final int RACK_SIZE = 20;
    /** Restarts per day that the operators plan for. */
    static final double RESTARTS_PER_DAY = 2_300;
    /** Restarts per second on an ordinary day. */
    static final double DAILY_RESTARTS_PER_SECOND = RESTARTS_PER_DAY / 86_400;
    /** Restarts per second during a release. */
    static final double RELEASE_RESTARTS_PER_SECOND = 60 * DAILY_RESTARTS_PER_SECOND;
    /** Share of messages that each link loses in {@link #LOSS20}, from 0 to 1. */
    static final double LOSS_SHARE = 0.2;

    private final int limitSeconds;
    private final boolean largestStepOnly;

    FaultKind(int limitSeconds, boolean largestStepOnly) {
        this.limitSeconds = limitSeconds;
        this.largestStepOnly = largestStepOnly;
    }

    /**
     * Longest wait in seconds for all members to install the same view; {@code view_s} counts from the same instant.
     */
    int limitSeconds() {
        return limitSeconds;
    }

    /** Whether the fault takes too long to be injected at every fleet size. */
    boolean largestStepOnly() {
        return largestStepOnly;
    }

    /** The name of this fault in options, reports and series. */
    public String optionName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the fault of that name; throws {@link IllegalArgumentException} listing the known names otherwise. */
    public static FaultKind fromOptionName(String optionName) {
        return Arrays.stream(values())
                .filter(kind -> kind.optionName().equals(optionName))
                .findFirst()
                .orElseThrow(() ->
                        new IllegalArgumentException("unknown fault " + optionName + "; known are " + optionNames()));
    }

    /** All names, in the order in which the faults are injected. */
    public static List<String> optionNames() {
        return Arrays.stream(values()).map(FaultKind::optionName).toList();
    }
}
