package wheatspread.fleet;

/**
 * One server of a fleet as its supervisor knows it. Times are Unix microseconds; 0 stands for "not yet".
 *
 * <p>A generation is one start of a process of this instance. Health checks and exits carry the generation they
 * belong to, so a late one of an earlier process changes nothing.
 */
public final class FleetInstance {
    /**
     * The states of an instance.
     *
     * <table>
     * <caption>States, and how an instance enters and leaves them</caption>
     * <tr><th>state</th><th>meaning</th><th>left for</th></tr>
     * <tr><td>{@code STOPPED}</td><td>no process: none is wanted, or its restart delay runs</td>
     *     <td>{@code STARTING} when the supervisor starts one; {@code CRASH_LOOP} on too many exits</td></tr>
     * <tr><td>{@code STARTING}</td><td>from the decision to start it to its first good health check</td>
     *     <td>{@code HEALTHY}; {@code DRAINING}; {@code STOPPED} on its exit</td></tr>
     * <tr><td>{@code HEALTHY}</td><td>its last health checks were good</td>
     *     <td>{@code UNHEALTHY} after enough failed checks in a row; {@code DRAINING}; {@code STOPPED}</td></tr>
     * <tr><td>{@code UNHEALTHY}</td><td>enough health checks in a row failed</td>
     *     <td>{@code HEALTHY} with the next good one; {@code DRAINING}; {@code STOPPED}</td></tr>
     * <tr><td>{@code DRAINING}</td><td>it was sent SIGTERM</td><td>{@code STOPPED} on its exit</td></tr>
     * <tr><td>{@code CRASH_LOOP}</td><td>it exited too often and is not restarted for now</td>
     *     <td>{@code STOPPED} when the hold is over, or an operator starts or drains it</td></tr>
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

        /** The name in files and in the log. It stays when the constant is renamed. */
        public String storedName() {
            return storedName;
        }

        /** The constant with this stored name; an unknown name is an {@link IllegalArgumentException}. */
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
     * The answer to a health check. The counters run from the start of the process.
     *
     * @param healthy whether the process says that it takes requests
     * @param served requests answered with a result
     * @param failed requests answered with an error
     * @param rejected requests rejected for want of capacity
     * @param warmUpRemainingMicros how long until the process is warmed up; 0 once it is
     */
    public record Health(boolean healthy, long served, long failed, long rejected, long warmUpRemainingMicros) {}

    /** The exit code of a process that was not a child of this supervisor, whose code the system does not report. */
    public static final int UNKNOWN_EXIT_CODE = -1;

    final String name;
    State state = State.STOPPED;
    long stateSinceMicros;
    /** Whether operators want it to run; false once it was drained or left the fleet's file. */
    boolean shouldRun = true;

    /** The label of the build of the current generation, or of the next one while there is no process. */
    String build;

    int generation;
    /** The process id; 0 while it is not known. */
    long pid;

    long startedAtMicros;
    /** The first good health check of this generation. */
    long firstHealthyAtMicros;
    /** The last answered health check of this generation. */
    long lastCheckAtMicros;

    int consecutiveFailedChecks;
    /** The last answered health check of this generation; null if there was none. */
    Health health;
    /**
     * Set while it is not known whether a start that an earlier supervisor recorded was carried out: until when the
     * process may still show itself by its lock. 0 if there is no such doubt.
     */
    long startUnconfirmedUntilMicros;

    int lastExitCode = UNKNOWN_EXIT_CODE;
    boolean hasExited;
    /** Whether SIGKILL was ordered for this generation; it is ordered once. */
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

    /** The last answered health check; null if there was none in this generation. */
    public Health health() {
        return health;
    }

    /** The exit code of its last process; null if none has exited. */
    public Integer lastExitCode() {
        return hasExited ? lastExitCode : null;
    }

    /** Whether it has a running process, as far as is known. */
    public boolean hasProcess() {
        return state == State.STARTING || state == State.HEALTHY || state == State.UNHEALTHY || state == State.DRAINING;
    }

    /** The time since its last answered health check; -1 if there was none. */
    public long sinceLastCheckMicros(long nowMicros) {
        return lastCheckAtMicros == 0 ? -1 : nowMicros - lastCheckAtMicros;
    }

    /** The time for which it has been in its state. */
    public long inStateMicros(long nowMicros) {
        return nowMicros - stateSinceMicros;
    }

    /** The time since it last proved to be alive, by an answered check or by becoming healthy. */
    long silentMicros(long nowMicros) {
        return nowMicros - Math.max(lastCheckAtMicros, firstHealthyAtMicros);
    }

    /** Whether health checks have found it healthy before, so that silence says something about it. */
    boolean isChecked() {
        return state == State.HEALTHY || state == State.UNHEALTHY;
    }

    void enterState(State next, long nowMicros) {
        state = next;
        stateSinceMicros = nowMicros;
    }

    /** Takes over what an earlier supervisor recorded. */
    void restore(FleetState.InstanceRecord saved) {
        state = saved.state();
        shouldRun = saved.shouldRun();
        build = saved.build();
        generation = saved.generation();
        stateSinceMicros = saved.stateSinceMicros();
        startedAtMicros = saved.startedAtMicros();
        firstHealthyAtMicros = saved.firstHealthyAtMicros();
    }

    /** Enters {@code STARTING} as the next generation; nothing known of the last one holds any more. */
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

    /** Enters {@code STOPPED} after the exit of its process. */
    void recordExit(int exitCode, long nowMicros) {
        lastExitCode = exitCode;
        hasExited = true;
        pid = 0;
        startUnconfirmedUntilMicros = 0;
        enterState(State.STOPPED, nowMicros);
    }
}
