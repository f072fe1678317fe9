package wheatspread.fleet;

/** One server of a fleet as its supervisor knows it. Times are Unix microseconds. */
public final class FleetInstance {
    /**
     * {@code ABSENT}: no process, and none is wanted or it is not time yet; {@code STARTING}: from the
     * decision to start it until it is well; {@code UP}, {@code UNWELL}: by its checks; {@code LEAVING}: it
     * got its notice; {@code HELD}: it ended too often.
     */
    public enum State {
        ABSENT("ABSENT"),
        STARTING("STARTING"),
        UP("UP"),
        UNWELL("UNWELL"),
        LEAVING("LEAVING"),
        HELD("HELD");

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
     * What a check told: well or not, what it served and failed since its start, and how long until it is
     * warm.
     */
    public record Health(boolean well, long served, long failed, long refused, long warmIn) {}

    /** Ends of processes that the system told nothing of. */
    public static final int UNKNOWN_CODE = -1;

    final String name;
    State state = State.ABSENT;
    /** Whether it should run. */
    boolean wanted = true;

    String build;
    int generation;
    /** Of the process; 0 while it is not known. */
    long pid;
    /** When it came to its state. */
    long since;
    /** When its process was started; 0 if it never was. */
    long startedAt;
    /** When it became well in this generation; 0 if it did not. */
    long wellAt;
    /** When it last answered a check; 0 if it did not in this generation. */
    long heardAt;

    int badChecks;
    Health health;
    /** Until when a start that may or may not have happened has time to show; 0 if there is no doubt. */
    long unsureUntil;

    int lastCode = UNKNOWN_CODE;
    boolean everEnded;
    boolean killed;

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

    public boolean wanted() {
        return wanted;
    }

    /** The last check's figures; null if there was none. */
    public Health health() {
        return health;
    }

    /** How its last process ended; null if none did. */
    public Integer lastCode() {
        return everEnded ? lastCode : null;
    }

    /** Whether a process of it lives, as far as is known. */
    public boolean lives() {
        return state == State.STARTING || state == State.UP || state == State.UNWELL || state == State.LEAVING;
    }

    /** How long ago it was last heard, in microseconds; -1 if never. */
    public long age(long now) {
        return heardAt == 0 ? -1 : now - heardAt;
    }

    /** How long it has been in its state, in microseconds. */
    public long inState(long now) {
        return now - since;
    }

    void enter(State next, long now) {
        state = next;
        since = now;
    }

    /** Takes over what an earlier supervisor wrote down. */
    void restore(FleetState.Of written) {
        state = written.state();
        wanted = written.wanted();
        build = written.build();
        generation = written.generation();
        since = written.since();
        startedAt = written.startedAt();
        wellAt = written.wellAt();
    }

    void begin(String ofBuild, long now) {
        enter(State.STARTING, now);
        build = ofBuild;
        generation++;
        pid = 0;
        startedAt = now;
        wellAt = 0;
        heardAt = 0;
        badChecks = 0;
        health = null;
        unsureUntil = 0;
        killed = false;
    }
}
