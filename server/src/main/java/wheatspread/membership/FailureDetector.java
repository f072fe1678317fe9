package wheatspread.membership;

/**
 * What one observer concludes about one subject, after SWIM with Lifeguard's suspicion timeouts. A probe that is not
 * answered in time is repeated through helpers; one that fails even so starts a suspicion, which lasts the shorter the
 * more other observers share it; a suspicion that runs out becomes a report. Any answer ends all of it and takes a
 * report back. Probes go on at each state, so that a subject that is down can recover.
 */
final class FailureDetector {
    /** What is concluded about the subject. */
    enum State {
        /** It answered last. */
        HEALTHY,
        /** The first probe since an answer is under way. */
        PROBING,
        /** That probe is repeated through helpers. */
        PROBING_INDIRECTLY,
        /** A probe failed, and the suspicion timeout runs. */
        SUSPECT,
        /** The suspicion timeout ran out, and the subject is reported. */
        DOWN
    }

    /** What the observer is to do. */
    enum Step {
        /** Nothing until {@link #nextStepMicros}. */
        NOTHING,
        /** Send a probe. */
        PROBE,
        /** Ask helpers to probe. */
        PROBE_INDIRECTLY,
        /** Publish a suspicion. */
        SUSPECT,
        /** Publish a report that the subject is down. */
        REPORT
    }

    private final DetectorSettings settings;
    private final LocalHealth health;
    private State state = State.HEALTHY;
    /** When the current probe began or, between probes, when the next one does. */
    private long probeMicros;

    private boolean probing;
    private boolean helpersAsked;
    private long suspectedSinceMicros;
    private int confirmations;
    private int confirmationsNeeded;

    FailureDetector(DetectorSettings settings, LocalHealth health, long firstProbeMicros) {
        this.settings = settings;
        this.health = health;
        probeMicros = firstProbeMicros;
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

    /** When the suspicion began; only while {@link #isSuspectOrDown}. */
    long suspectedSinceMicros() {
        return suspectedSinceMicros;
    }

    /** How many other observers share the suspicion, and how many there are. */
    void updateConfirmations(int sharedBy, int otherObservers) {
        confirmations = sharedBy;
        confirmationsNeeded = Math.min(settings.confirmations(), otherObservers);
    }

    /** When {@link #nextStep} has something to do next. */
    long nextStepMicros() {
        long next = probeMicros;
        if (probing) {
            next += helpersAsked ? probeTimeoutMicros() : directTimeoutMicros();
        }
        return state == State.SUSPECT ? Math.min(next, suspectedSinceMicros + suspicionTimeoutMicros()) : next;
    }

    private long directTimeoutMicros() {
        return settings.directTimeoutMicros() * health.multiplier();
    }

    private long probeTimeoutMicros() {
        return settings.probeTimeoutMicros() * health.multiplier();
    }

    /**
     * How long the current suspicion lasts: between the longest and the shortest timeout, by the logarithm of its
     * confirmations, as in Lifeguard.
     */
    long suspicionTimeoutMicros() {
        double range = settings.maxSuspicionMicros() - settings.minSuspicionMicros();
        double confirmed = confirmationsNeeded == 0
                ? 0
                : Math.log1p(Math.min(confirmations, confirmationsNeeded)) / Math.log1p(confirmationsNeeded);
        return (long) (settings.maxSuspicionMicros() - range * confirmed) * health.multiplier();
    }

    /** The next step at this time; to be called again until there is none. */
    Step nextStep(long nowMicros) {
        if (state == State.SUSPECT && nowMicros >= suspectedSinceMicros + suspicionTimeoutMicros()) {
            state = State.DOWN;
            return Step.REPORT;
        }
        if (!probing) {
            return nowMicros < probeMicros ? Step.NOTHING : startProbe(nowMicros);
        }
        if (!helpersAsked && nowMicros >= probeMicros + directTimeoutMicros()) {
            helpersAsked = true;
            state = state == State.PROBING ? State.PROBING_INDIRECTLY : state;
            return Step.PROBE_INDIRECTLY;
        }
        if (nowMicros >= probeMicros + probeTimeoutMicros()) {
            return failProbe(nowMicros);
        }
        return Step.NOTHING;
    }

    private Step startProbe(long nowMicros) {
        probing = true;
        helpersAsked = false;
        probeMicros = nowMicros;
        state = state == State.HEALTHY ? State.PROBING : state;
        return Step.PROBE;
    }

    private Step failProbe(long nowMicros) {
        probing = false;
        probeMicros += settings.probePeriodMicros() * health.multiplier();
        if (state != State.PROBING_INDIRECTLY) {
            return Step.NOTHING;
        }
        state = State.SUSPECT;
        suspectedSinceMicros = nowMicros;
        return Step.SUSPECT;
    }

    /** The subject answered, directly or through a helper; returns whether a suspicion or report is to be withdrawn. */
    boolean onAnswer() {
        boolean withdraw = isSuspectOrDown();
        state = State.HEALTHY;
        confirmations = 0;
        if (probing) {
            probing = false;
            probeMicros += settings.probePeriodMicros();
        }
        return withdraw;
    }

    /**
     * This process was suspended for that time. Answers that came meanwhile are not read yet, so no probe counts as
     * failed, and a suspected subject gets the time back.
     */
    void extendDeadlines(long suspendedMicros) {
        probeMicros += suspendedMicros;
        suspectedSinceMicros += suspendedMicros;
    }
}
