package wheatspread.kernel;

import wheatspread.core.Kernel;

/**
 * The words of the kernel's line protocol, each under the name that the code uses for what it means. Every
 * line is a JSON object; {@link #TYPE} says which message it is. The words are fixed by the protocol: rename
 * the constants, never their values.
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
    /** Hands a run the reply to its dependency call. */
    static final String CALL_REPLY = "IODONE";
    /** Lets a run continue without its dependency call. */
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
    /** The gauges, in answer to {@link #REQUEST_GAUGES}. */
    static final String GAUGES = "INFO";
    /** A command was not carried out. */
    static final String COMMAND_REJECTED = "EINVAL";

    // ---- fields ----

    /** The type of the message. */
    static final String TYPE = "type";
    /** The id of the run. */
    static final String JOB = "job";
    /** The name of the request class that a run belongs to. */
    static final String REQUEST_CLASS = "kind";
    /** A body in base64: of the request, of the dependency call or of a reply. */
    static final String BODY = "data";
    /** The sequence number of a notice. */
    static final String SEQUENCE_NUMBER = "n";
    /** An opaque value that the answer to {@link #REQUEST_GAUGES} repeats. */
    static final String REFERENCE = "ref";
    /** The array of gauge values. */
    static final String GAUGE_VALUES = "gauges";
    /**
     * In {@link #READY} how the kernel started, in {@link #COMPLETION} how the run ended, in
     * {@link #COMMAND_REJECTED} the type of the rejected command.
     */
    static final String STATE = "state";
    /** A duration in milliseconds: of the run, or since the kernel started. */
    static final String DURATION_MS = "took";

    // ---- values of STATE ----

    /** In {@link #READY}: the kernel has lost all earlier runs. */
    static final String COLD_START = "COLD";

    private KernelWireNames() {}

    /** Returns how a run ended, from the state that {@link #COMPLETION} gives. */
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
