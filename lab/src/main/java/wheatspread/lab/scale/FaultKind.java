package wheatspread.lab.scale;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/** The faults that the rig plays, in the order in which it plays them. */
public enum FaultKind {
    /** One hollow server ends without a word. */
    CRASH(30, false),
    /** {@link #RACK_SIZE} hollow servers of one zone end at the same time. */
    RACK(45, false),
    /** Restarts at the rate of a usual day. */
    RESTARTS_DAILY(60, true),
    /** Restarts at sixty times that rate, as in a release. */
    RESTARTS_RELEASE(60, false),
    /** Every link loses a fifth of its messages. */
    LOSS20(45, false),
    /** All servers of one zone, an eighth of the fleet, end at the same time. */
    ZONE(60, false),
    /** All that were ended so far are started again. */
    RETURN(60, false),
    /** Two halves of the fleet do not hear each other for a while, then they do. The second may be one larger. */
    HALVES(60, false);

    /** Servers of a rack. */
    static final int RACK_SIZE = 20;
    /** Restarts a day that the operators plan with. */
    static final double RESTARTS_A_DAY = 2_300;
    /** Restarts a second of a usual day. */
    static final double DAILY_RATE = RESTARTS_A_DAY / 86_400;
    /** Restarts a second in a release. */
    static final double RELEASE_RATE = 60 * DAILY_RATE;
    /** The share of messages that each link loses in {@link #LOSS20}. */
    static final double LOSS = 0.2;

    private final int limitSeconds;
    private final boolean largestStepOnly;

    FaultKind(int limitSeconds, boolean largestStepOnly) {
        this.limitSeconds = limitSeconds;
        this.largestStepOnly = largestStepOnly;
    }

    /** How long one view on all is waited for, from when {@code view_s} counts. */
    int limitSeconds() {
        return limitSeconds;
    }

    /** Whether it lasts too long to be played at every size. */
    boolean largestStepOnly() {
        return largestStepOnly;
    }

    /** Its name in options, reports and series. */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** The fault of that name; throws {@link IllegalArgumentException} with those that there are. */
    public static FaultKind named(String word) {
        return Arrays.stream(values())
                .filter(one -> one.word().equals(word))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("unknown fault " + word + "; known are " + words()));
    }

    /** All names in the order of play. */
    public static List<String> words() {
        return Arrays.stream(values()).map(FaultKind::word).toList();
    }
}
