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
        HEALTHY,
        PROBING,
        PROBING_INDIRECTLY,
        SUSPECT,
        DOWN
    }

    /** What is to be done now. */
    enum Step {
        NOTHING,
        PROBE,
        PROBE_INDIRECTLY,
        SUSPECT,
        REPORT
    }

    private final DetectorSettings settings;
    private final LocalHealth health;
    private State state = State.HEALTHY;
    /** When the present probe began, or when the next one is due. */
    private long probeAt;

    private boolean probing;
    private boolean askedAround;
    private long suspectedSinceMicros;
    private int updateConfirmations;
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

    boolean isSuspectOrDown() {
        return state == State.SUSPECT || state == State.DOWN;
    }

    boolean isDown() {
        return state == State.DOWN;
    }

    /** Since when it is suspected or down. */
    long suspectedSinceMicros() {
        return suspectedSinceMicros;
    }

    /** How many other watchers share the suspicion, of how many that there are. */
    void updateConfirmations(int others, int possible) {
        updateConfirmations = others;
        enough = Math.min(settings.confirmations(), possible);
    }

    /** When {@link #nextStep} has something to do next. */
    long nextStepMicros() {
        long probe = !probing
                ? probeAt
                : askedAround
                        ? probeAt + settings.whole() * health.multiplier()
                        : probeAt + settings.direct() * health.multiplier();
        return state == State.SUSPECT ? Math.min(probe, suspectedSinceMicros + suspicionTimeoutMicros()) : probe;
    }

    /** How long the present suspicion lasts, by how many share it. */
    long suspicionTimeoutMicros() {
        double spread = settings.mostSuspicion() - settings.leastSuspicion();
        double share = enough == 0 ? 0 : Math.log1p(Math.min(updateConfirmations, enough)) / Math.log1p(enough);
        return (long) (settings.mostSuspicion() - spread * share) * health.multiplier();
    }

    /** The next thing to do at this time; to be asked again until it is nothing. */
    Step nextStep(long now) {
        if (state == State.SUSPECT && now >= suspectedSinceMicros + suspicionTimeoutMicros()) {
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
            state = state == State.HEALTHY ? State.PROBING : state;
            return Step.PROBE;
        }
        if (!askedAround && now >= probeAt + settings.direct() * health.multiplier()) {
            askedAround = true;
            state = state == State.PROBING ? State.PROBING_INDIRECTLY : state;
            return Step.PROBE_INDIRECTLY;
        }
        if (now >= probeAt + settings.whole() * health.multiplier()) {
            probing = false;
            probeAt += settings.period() * health.multiplier();
            if (state == State.PROBING_INDIRECTLY) {
                state = State.SUSPECT;
                suspectedSinceMicros = now;
                return Step.SUSPECT;
            }
        }
        return Step.NOTHING;
    }

    /**
     * It answered, directly or through somebody; returns whether a suspicion or a report is to be taken
     * back.
     */
    boolean onAnswer() {
        boolean back = state == State.SUSPECT || state == State.DOWN;
        state = State.HEALTHY;
        updateConfirmations = 0;
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
    void extendDeadlines(long micros) {
        probeAt += micros;
        suspectedSinceMicros += micros;
    }
}
