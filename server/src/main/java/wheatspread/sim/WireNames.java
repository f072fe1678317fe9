package wheatspread.sim;

import java.util.Map;
import wheatspread.admission.Outcome;

/** The names on the simulator's wire. Each constant is named by the server's term for the name in its value. */
final class WireNames {
    // A batch of events, and the reply with the actions of each instance.

    /** Time of the batch. All times on the wire are in milliseconds. */
    static final String BATCH_TIME = "SimTime";

    static final String PARTS = "parts";
    static final String INSTANCE_ID = "WorkerId";
    static final String EVENTS = "items";
    static final String ACTIONS = "cmds";
    /** Kind of an event or action. */
    static final String KIND = "m";

    // Events.

    static final String INSTANCE_STARTED = "NewInstance";
    static final String INSTANCE_ENDED = "Exit";
    static final String ARRIVAL = "Accept";
    static final String COMPLETION = "Completed";
    static final String BLOCKED = "Blocked";
    static final String CALL_COMPLETED = "Called";
    static final String CANCELLATION = "CancelledByClient";
    static final String DRAIN = "RetireSoon";
    static final String TIMER = "Bell";

    // Fields of events.

    static final String SETTINGS = "Info";
    static final String SEED = "InitSeed";
    static final String REQUEST_ID = "Tid";
    static final String TENANT = "Customer";
    static final String REQUEST_CLASS = "Band";
    static final String AGE = "Age";
    /** The timeout of an arrival, or the time from a drain notice until the process is stopped. */
    static final String TIME_LEFT = "Left";

    static final String DUPLICATE_OF = "DupOf";
    static final String RETRY = "AgainByClient";
    static final String CACHE_KEY = "NameKey";
    static final String WRITE = "Mutates";
    static final String HELD_KB = "HeldKb";
    static final String EXPECTED_WORK = "WorkHint";
    static final String OUTCOME = "Rc";
    static final String ELAPSED = "WaitTime";
    static final String GAUGES = "Telemetry";

    // Actions.

    static final String RUN = "Execute";
    static final String REJECT = "NotNow";
    static final String FAIL = "DropRequest";
    static final String PREEMPT = "AbortWork";
    static final String CALL_DEPENDENCY = "CallDep";
    static final String SKIP_DEPENDENCY = "Bypass";
    static final String RETAIN_KEY = "Pin";
    static final String RELEASE_KEY = "Unpin";
    static final String JOIN_RESULT = "Join";
    static final String SET_HEALTH = "ReportHealth";
    static final String SET_LOAD_FEEDBACK = "Signal";
    static final String SET_IDLE_TIMEOUT = "Idle";
    static final String SCHEDULE_WAKEUP = "Sleep";
    static final String LOG = "Log";

    // Fields of actions.

    static final String RETRY_AFTER = "StayAway";
    static final String DO_NOT_RETRY = "DontRetry";
    static final String CALL_TIMEOUT = "GiveUpAfter";
    /** Time for which a key is retained or a connection may be idle. */
    static final String TIME_TO_LIVE = "Ttl";

    static final String HEALTHY = "Want";
    static final String STORED = "Stored";
    static final String FEEDBACK_VALUE = "Value";
    static final String WAKEUP_DELAY = "FromNow";
    static final String WAKEUP_LABEL = "Cookie";
    static final String LOG_TEXT = "NoteText";

    /** Values of {@link #OUTCOME}. */
    static final Map<String, Outcome> OUTCOMES = Map.of(
            "Ok",
            Outcome.OK,
            "Failed",
            Outcome.FAILED,
            "QueueFull",
            Outcome.QUEUE_FULL,
            "TimedOut",
            Outcome.TIMED_OUT,
            "ConnectError",
            Outcome.CONNECT_ERROR,
            "ResetByPeer",
            Outcome.RESET,
            "Canceled",
            Outcome.CANCELED,
            "Ignored",
            Outcome.IGNORED);

    private WireNames() {}
}
