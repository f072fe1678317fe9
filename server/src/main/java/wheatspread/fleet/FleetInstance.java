package wheatspread.fleet;

/**
 * The supervisor's record of one server of a fleet. Times are Unix microseconds; 0 means that the event has not
 * happened. One thread makes all calls.
 *
 * <p>A generation is one start of a process of this instance. Health checks and exits carry their generation number, so
 * that late reports about an earlier process are ignored.
 */
public final class FleetInstance {
    /**
     * The state of an instance.
     *
     * <table>
     * <caption>States, and how an instance enters and leaves them</caption>
     * <tr><th>state</th><th>meaning</th><th>followed by</th></tr>
     * <tr><td>{@code STOPPED}</td><td>it has no process: it should not run, or its restart delay has not expired</td>
     *     <td>{@code STARTING} when a process is started; {@code CRASH_LOOP} after too many exits</td></tr>
     * <tr><td>{@code STARTING}</td><td>a start was decided, and no health check has succeeded yet</td>
     *     <td>{@code HEALTHY}; {@code DRAINING}; {@code STOPPED} on its exit</td></tr>
     * <tr><td>{@code HEALTHY}</td><td>its last health check succeeded, or fewer than the threshold failed</td>
     *     <td>{@code UNHEALTHY} after too many consecutive failed checks; {@code DRAINING}; {@code STOPPED}</td></tr>
     * <tr><td>{@code UNHEALTHY}</td><td>too many consecutive health checks failed</td>
     *     <td>{@code HEALTHY} after a successful check; {@code DRAINING}; {@code STOPPED}</td></tr>
     * <tr><td>{@code DRAINING}</td><td>it was sent SIGTERM</td><td>{@code STOPPED} on its exit</td></tr>
     * <tr><td>{@code CRASH_LOOP}</td><td>it exited too often and is held: it is not restarted</td>
     *     <td>{@code STOPPED} when the hold ends, or an operator starts or drains it</td></tr>
     * </table>
     */
    public enum State {
        STOPPED("ABSENT"),
        STARTING("STARTING"),
        HEALTHY("UP"),
        UNHEALTHY("UNWELL"),
        DRAINING("LEAVING"),
        CRASH_LOOP("HELD");

        private final String storedName;

        State(String storedName) {
            this.storedName = storedName;
        }

        /** Returns the name used in files and in the log, which must not change when the constant is renamed. */
        public String storedName() {
            return storedName;
        }

        /**
         * Returns the constant with this stored name.
         *
         * @throws IllegalArgumentException if the name is unknown
         */
        public static State fromStoredName(String storedName) {
            for (State state : values()) {
                if (state.storedName.equals(storedName)) {
                    return state;
                }
            }
            throw new IllegalArgumentException("unknown state: " + storedName);
        }
    }

    /**
     * The answer to a health check. The counters start at the start of the process.
     *
     * @param healthy whether the process reports that it accepts requests
     * @param served number of requests answered with a result
     * @param failed number of requests answered with an error
     * @param rejected number of requests rejected because of overload
     * @param warmUpRemainingMicros the time until the process is warmed up; 0 if it is warm
     */
    public record Health(boolean healthy, long served, long failed, long rejected, long warmUpRemainingMicros) {}

    /** Exit code for a process that is not a child of this supervisor: the system does not report its code. */
    public static final int UNKNOWN_EXIT_CODE = -1;

    final String name;
    State state = State.STOPPED;
    long stateSinceMicros;
    /** Whether the instance should run; false after an operator drained it or removed it from the fleet's file. */
    boolean shouldRun = true;

    /** The label of the build of the current generation, or of the next generation if there is no process. */
    String build;

    int generation;
    /** The process id; 0 if it is unknown. */
    long pid;

    long startedAtMicros;
    /** The time of the first successful health check of this generation. */
    long firstHealthyAtMicros;
    /** The time of the last answered health check of this generation. */
    long lastCheckAtMicros;

    int consecutiveFailedChecks;
    /** The last answer to a health check of this generation; null if there has been none. */
    Health health;
    /**
     * The time until which the process of a recorded start may take its lock. It is set while it is unknown whether an
     * earlier supervisor carried out the start; 0 otherwise.
     */
    long startUnconfirmedUntilMicros;

    int lastExitCode = UNKNOWN_EXIT_CODE;
    boolean hasExited;
    /** Whether SIGKILL was ordered for this generation; it is ordered at most once. */
    boolean killRequested;

    FleetInstance(String name, String build) {
        this.name = name;
        this.build = build;
    }

    public String name() {
        return name;
    }

    public State state() {
        return state;
    }

    public String build() {
        return build;
    }

    public int generation() {
        return generation;
    }

    public long pid() {
        return pid;
    }

    public boolean shouldRun() {
        return shouldRun;
    }

    /** Returns the last answer to a health check of this generation; null if there has been none. */
    public Health health() {
        return health;
    }

    /** Returns the exit code of the last process; null if no process has exited. */
    public Integer lastExitCode() {
        return hasExited ? lastExitCode : null;
    }

    /** Returns whether the instance is believed to have a running process. */
    public boolean hasProcess() {
        return state == State.STARTING || state == State.HEALTHY || state == State.UNHEALTHY || state == State.DRAINING;
    }

    /** Returns the time since the last answered health check; -1 if there has been none. */
    public long sinceLastCheckMicros(long nowMicros) {
        return lastCheckAtMicros == 0 ? -1 : nowMicros - lastCheckAtMicros;
    }

    /** Returns the time since the instance entered its current state. */
    public long inStateMicros(long nowMicros) {
        return nowMicros - stateSinceMicros;
    }

    /** Returns the time since the last answered health check, or since the instance became healthy if that is later. */
    long sinceLastAnswerMicros(long nowMicros) {
        return nowMicros - Math.max(lastCheckAtMicros, firstHealthyAtMicros);
    }

    /** Returns whether the instance has been healthy, so that unanswered health checks indicate a failure. */
    boolean hasBeenHealthy() {
        return state == State.HEALTHY || state == State.UNHEALTHY;
    }

    void enterState(State next, long nowMicros) {
        state = next;
        stateSinceMicros = nowMicros;
    }

    /** Restores the fields that an earlier supervisor saved. */
    void restore(FleetState.InstanceRecord saved) {
        state = saved.state();
        shouldRun = saved.shouldRun();
        build = saved.build();
        generation = saved.generation();
        stateSinceMicros = saved.stateSinceMicros();
        startedAtMicros = saved.startedAtMicros();
        firstHealthyAtMicros = saved.firstHealthyAtMicros();
    }

    /** Enters {@code STARTING} with the next generation number, and resets the data of the previous generation. */
    void beginGeneration(String nextBuild, long nowMicros) {
        enterState(State.STARTING, nowMicros);
        build = nextBuild;
        generation++;
        pid = 0;
        startedAtMicros = nowMicros;
        firstHealthyAtMicros = 0;
        lastCheckAtMicros = 0;
        consecutiveFailedChecks = 0;
        health = null;
        startUnconfirmedUntilMicros = 0;
        killRequested = false;
    }

    /** Enters {@code STOPPED} after the exit of the process. */
    void recordExit(int exitCode, long nowMicros) {
        lastExitCode = exitCode;
        hasExited = true;
        pid = 0;
        startUnconfirmedUntilMicros = 0;
        enterState(State.STOPPED, nowMicros);
    }
}
