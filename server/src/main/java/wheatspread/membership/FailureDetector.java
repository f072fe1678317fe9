package wheatspread.membership;

/**
 * What one member makes of another that it watches. A probe that is not answered in time is asked again
 * through others; one that fails even so begins a suspicion, which lasts the shorter the more other watchers
 * share it; one that is not answered until then becomes a report. An answer ends all of it, and takes a
 * report back.
 *
 * <p>It sends nothing, reads no clock and holds no random source; times are microseconds.
 */
final class FailureDetector {
    /** Where it stands. */
    enum State {
        WELL,
        ASKED,
        ASKED_AROUND,
        SUSPECT,
        DOWN
    }

    /** What is to be done now. */
    enum Step {
        NOTHING,
        PROBE,
        ASK_AROUND,
        SUSPECT,
        REPORT
    }

    private final DetectorSettings settings;
    private final LocalHealth health;
    private State state = State.WELL;
    /** When the present probe began, or when the next one is due. */
    private long probeAt;

    private boolean probing;
    private boolean askedAround;
    private long suspectSince;
    private int sharedBy;
    private int enough;

    /** The first probe is due at {@code first}. */
    FailureDetector(DetectorSettings settings, LocalHealth health, long first) {
        this.settings = settings;
        this.health = health;
        probeAt = first;
    }

    State state() {
        return state;
    }

    /** Since when it is suspected or down. */
    long suspectSince() {
        return suspectSince;
    }

    /** How many other watchers share the suspicion, of how many that there are. */
    void sharedBy(int others, int possible) {
        sharedBy = others;
        enough = Math.min(settings.confirmations(), possible);
    }

    /** When {@link #step} has something to do next. */
    long nextAt() {
        long probe = !probing
                ? probeAt
                : askedAround
                        ? probeAt + settings.whole() * health.times()
                        : probeAt + settings.direct() * health.times();
        return state == State.SUSPECT ? Math.min(probe, suspectSince + suspicion()) : probe;
    }

    /** How long the present suspicion lasts, by how many share it. */
    long suspicion() {
        double spread = settings.mostSuspicion() - settings.leastSuspicion();
        double share = enough == 0 ? 0 : Math.log1p(Math.min(sharedBy, enough)) / Math.log1p(enough);
        return (long) (settings.mostSuspicion() - spread * share) * health.times();
    }

    /** The next thing to do at this time; to be asked again until it is nothing. */
    Step step(long now) {
        if (state == State.SUSPECT && now >= suspectSince + suspicion()) {
            state = State.DOWN;
            return Step.REPORT;
        }
        if (!probing) {
            if (now < probeAt) {
                return Step.NOTHING;
            }
            probing = true;
            askedAround = false;
            probeAt = now;
            state = state == State.WELL ? State.ASKED : state;
            return Step.PROBE;
        }
        if (!askedAround && now >= probeAt + settings.direct() * health.times()) {
            askedAround = true;
            state = state == State.ASKED ? State.ASKED_AROUND : state;
            return Step.ASK_AROUND;
        }
        if (now >= probeAt + settings.whole() * health.times()) {
            probing = false;
            probeAt += settings.period() * health.times();
            if (state == State.ASKED_AROUND) {
                state = State.SUSPECT;
                suspectSince = now;
                return Step.SUSPECT;
            }
        }
        return Step.NOTHING;
    }

    /**
     * It answered, directly or through somebody; returns whether a suspicion or a report is to be taken
     * back.
     */
    boolean answered() {
        boolean back = state == State.SUSPECT || state == State.DOWN;
        state = State.WELL;
        sharedBy = 0;
        if (probing) {
            probing = false;
            probeAt += settings.period();
        }
        return back;
    }

    /**
     * This member was stopped for so long: what came meanwhile is not read yet, so nothing that was waited
     * for counts as missed, and who is suspected gets the time back.
     */
    void stoppedFor(long micros) {
        probeAt += micros;
        suspectSince += micros;
    }
}
