package wheatspread.kernel;

import wheatspread.core.Kernel;

/**
 * The keywords of the kernel's line protocol. Every line is a JSON object whose {@link #TYPE} field gives the type of
 * the message. The names of the constants give the meaning of the keywords; their values are fixed by the protocol
 * and must not change.
 */
final class KernelWireNames {
    // ---- commands, from this server to the kernel ----

    /** Resumes the session: the kernel sends every notice after {@link #SEQUENCE_NUMBER} again. */
    static final String RESUME_SESSION = "OPEN";
    /** Starts a run. */
    static final String START = "SCHED";
    /** Suspends a run; the kernel may cancel it instead. */
    static final String SUSPEND = "PREEMPT";
    /** Resumes a suspended run. */
    static final String RESUME = "RESCHED";
    /** Passes the reply to a dependency call to the run that waits for it. */
    static final String CALL_REPLY = "IODONE";
    /** Continues a run without its dependency call. */
    static final String SKIP_CALL = "NOIO";
    /** Requests the gauges. */
    static final String REQUEST_GAUGES = "SYSINFO";

    // ---- notices, from the kernel to this server ----

    /** The kernel is up and accepts commands on this connection. */
    static final String READY = "BOOTED";
    /** A run has ended. */
    static final String COMPLETION = "REAP";
    /** A run waits for the reply to a dependency call. */
    static final String CALL_REQUEST = "IOREQ";
    /** The answer to {@link #REQUEST_GAUGES}. */
    static final String GAUGES = "INFO";
    /** A command was not carried out. */
    static final String COMMAND_REJECTED = "EINVAL";

    // ---- fields ----

    /** The type of the message. */
    static final String TYPE = "type";
    /** The id of the run. */
    static final String JOB = "job";
    /** The name of the run's request class. */
    static final String REQUEST_CLASS = "kind";
    /** A body in base64, of a request, a dependency call or a reply. */
    static final String BODY = "data";
    /** The sequence number of a notice. */
    static final String SEQUENCE_NUMBER = "n";
    /** An opaque value that the answer to {@link #REQUEST_GAUGES} repeats. */
    static final String REFERENCE = "ref";
    /** The array of gauge values. */
    static final String GAUGE_VALUES = "gauges";
    /**
     * The start of the kernel, cold or warm, in {@link #READY}; the end of the run in {@link #COMPLETION}; the type of
     * the rejected command in {@link #COMMAND_REJECTED}.
     */
    static final String STATE = "state";
    /** The duration of the run, or the time since the kernel started, in milliseconds. */
    static final String DURATION_MS = "took";

    // ---- values of STATE ----

    /** The kernel has lost all earlier runs; a value in {@link #READY}. */
    static final String COLD_START = "COLD";

    private KernelWireNames() {}

    /** Converts the state of a {@link #COMPLETION}; throws {@link IllegalArgumentException} if it is unknown. */
    static Kernel.End runEnd(String state) {
        return switch (state) {
            case "OK" -> Kernel.End.OK;
            case "ERROR" -> Kernel.End.ERROR;
            case "STOPPED" -> Kernel.End.STOPPED;
            case "MOOT" -> Kernel.End.IGNORED;
            default -> throw new IllegalArgumentException("unknown end of a run: " + state);
        };
    }
}
