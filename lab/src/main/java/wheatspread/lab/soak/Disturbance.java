package wheatspread.lab.soak;

/** What a soak does to one server, or to the services that all servers use. */
public enum Disturbance {
    /** Several SIGHUPs, one after the other. */
    RELOAD_SERIES,
    /** Kernel, records and announce service move; a SIGHUP follows. */
    SERVICES_MOVE,
    /** SIGSTOP, and SIGCONT after a while. */
    PAUSE,
    /** The kernel slows down to the speed of a cold start. */
    COLD_KERNEL,
    /** The records service refuses connections for a while. */
    RECORDS_GONE,
    /** The announce service refuses connections for a while. */
    ANNOUNCE_GONE,
    /** The process is killed with its kernel, and started again. */
    KILL,
    /** SIGTERM among other signals; SIGKILL at the end of the stop time; a new process is started. */
    DRAIN,
    /** The process is killed, and its successor gets signals while it starts. */
    SIGNALS_DURING_START
}
