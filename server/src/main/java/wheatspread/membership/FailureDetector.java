package wheatspread.membership;

/**
 * The failure detector of one observer for one subject, after SWIM with Lifeguard's suspicion timeouts. A probe that is
 * not answered in time is repeated through helpers. If the repeated probe also fails, a suspicion starts; the more
 * other observers share the suspicion, the shorter is its timeout. When the timeout expires, the subject is reported
 * down. Any answer ends a suspicion and withdraws a report. Probes continue in every state, so that a subject that is
 * down can recover.
 */
final class FailureDetector {
    /** The state of the subject. */
    enum State {
        /** The subject answered the last probe. */
        HEALTHY,
        /** The first probe since the last answer is in progress. */
        PROBING,
        /** Helpers repeat the first probe since the last answer. */
        PROBING_INDIRECTLY,
        /** A probe failed, and the suspicion timeout is running. */
        SUSPECT,
        /** The suspicion timeout expired, and the subject is reported down. */
        DOWN
    }

    /** The step that the observer must take. */
    enum Step {
        /** Do nothing until {@link #nextStepMicros}. */
        NOTHING,
        /** Send a probe. */
        PROBE,
        /** Send indirect pings to helpers. */
        PROBE_INDIRECTLY,
        /** Publish a suspicion. */
        SUSPECT,
        /** Publish a report that the subject is down. */
        REPORT
    }

    private final DetectorSettings settings;
    private final LocalHealth health;
    private State state = State.HEALTHY;
    /** The start time of the current probe or, between probes, of the next one. */
    private long probeStartMicros;

    private boolean probing;
    private boolean helpersRequested;
    private long suspectedSinceMicros;
    private int confirmations;
    private int requiredConfirmations;

    FailureDetector(DetectorSettings settings, LocalHealth health, long firstProbeMicros) {
        this.settings = settings;
        this.health = health;
        probeStartMicros = firstProbeMicros;
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

    /** Returns when the suspicion began; valid only while {@link #isSuspectOrDown} returns true. */
    long suspectedSinceMicros() {
        return suspectedSinceMicros;
    }

    /** Sets the number of other observers that share the suspicion, and the number of other observers in total. */
    void updateConfirmations(int otherSuspecters, int otherObservers) {
        confirmations = otherSuspecters;
        requiredConfirmations = Math.min(settings.requiredConfirmations(), otherObservers);
    }

    /** Returns the next time at which {@link #advance} returns a step. */
    long nextStepMicros() {
        long next = probeStartMicros;
        if (probing) {
            next += helpersRequested ? probeTimeoutMicros() : directTimeoutMicros();
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
     * Returns the timeout of the current suspicion: it decreases from the longest to the shortest timeout with the
     * logarithm of the number of confirmations, as in Lifeguard.
     */
    long suspicionTimeoutMicros() {
        double rangeMicros = settings.maxSuspicionMicros() - settings.minSuspicionMicros();
        double confirmedShare = requiredConfirmations == 0
                ? 0
                : Math.log1p(Math.min(confirmations, requiredConfirmations)) / Math.log1p(requiredConfirmations);
        return (long) (settings.maxSuspicionMicros() - rangeMicros * confirmedShare) * health.multiplier();
    }

    /**
     * Advances to this time and returns the step that the observer must take; the caller repeats the call until the
     * result is {@link Step#NOTHING}.
     */
    Step advance(long nowMicros) {
        if (state == State.SUSPECT && nowMicros >= suspectedSinceMicros + suspicionTimeoutMicros()) {
            state = State.DOWN;
            return Step.REPORT;
        }
        if (!probing) {
            return nowMicros < probeStartMicros ? Step.NOTHING : startProbe(nowMicros);
        }
        if (!helpersRequested && nowMicros >= probeStartMicros + directTimeoutMicros()) {
            helpersRequested = true;
            state = state == State.PROBING ? State.PROBING_INDIRECTLY : state;
            return Step.PROBE_INDIRECTLY;
        }
        if (nowMicros >= probeStartMicros + probeTimeoutMicros()) {
            return failProbe(nowMicros);
        }
        return Step.NOTHING;
    }

    private Step startProbe(long nowMicros) {
        probing = true;
        helpersRequested = false;
        probeStartMicros = nowMicros;
        state = state == State.HEALTHY ? State.PROBING : state;
        return Step.PROBE;
    }

    private Step failProbe(long nowMicros) {
        probing = false;
        probeStartMicros += settings.probePeriodMicros() * health.multiplier();
        if (state != State.PROBING_INDIRECTLY) {
            return Step.NOTHING;
        }
        state = State.SUSPECT;
        suspectedSinceMicros = nowMicros;
        return Step.SUSPECT;
    }

    /** Handles an answer, direct or through a helper; returns whether a suspicion or report must be withdrawn. */
    boolean onAnswer() {
        boolean withdraw = isSuspectOrDown();
        state = State.HEALTHY;
        confirmations = 0;
        if (probing) {
            probing = false;
            probeStartMicros += settings.probePeriodMicros();
        }
        return withdraw;
    }

    /**
     * Extends the deadlines after this process was suspended. Answers that arrived in the meantime are not read yet, so
     * the suspended time must not count towards the timeouts of probes and suspicions.
     */
    void extendDeadlines(long suspendedMicros) {
        probeStartMicros += suspendedMicros;
        suspectedSinceMicros += suspendedMicros;
    }
}
