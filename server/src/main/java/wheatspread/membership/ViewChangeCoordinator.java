package wheatspread.membership;

import java.util.random.RandomGenerator;

/**
 * Leads from evidence to the next view: proposes the change that the cut detector finds once the evidence has settled,
 * and starts a classic round of Fast Paxos where the fast round does not decide.
 */
final class ViewChangeCoordinator {
    /** A change is proposed when no new evidence came for this time, so that crashes at once make one change. */
    private static final long PROPOSAL_SETTLE_MICROS = 200_000;
    /**
     * How long to wait for a member whose report count lies between the low and the high watermark before voting
     * without it. Observers suspect for different times, so their reports are spread.
     */
    private static final long UNSTABLE_WAIT_MICROS = 5_000_000;
    /** A member waits one to three times this for the fast round; drawn, so that few start a classic round at once. */
    private static final long FAST_ROUND_TIMEOUT_MICROS = 250_000;
    /** A member waits one to three times this for a classic round before it starts the next. */
    private static final long CLASSIC_ROUND_TIMEOUT_MICROS = 1_000_000;
    /** Counting goes through all members, and suspicions come with every message while some are lost. */
    private static final long UNREACHABLE_COUNT_INTERVAL_MICROS = 250_000;

    private final MembershipState state;
    private final GossipDissemination gossip;
    private final RandomGenerator random;
    /** What this member proposed last in this view; null before. */
    private ViewChange proposed;

    private long lastEvidenceMicros;
    private long unstableSinceMicros;
    private long roundDeadlineMicros;
    private long lastBallot;
    private long nextUnreachableCountMicros;

    ViewChangeCoordinator(MembershipState state, GossipDissemination gossip, RandomGenerator random) {
        this.state = state;
        this.gossip = gossip;
        this.random = random;
    }

    /** New evidence about members came, so a change that is not proposed yet waits until that settles. */
    void onEvidence(long nowMicros) {
        lastEvidenceMicros = nowMicros;
    }

    /** Whether there is a change to propose or to agree on. */
    boolean isChangePending() {
        return state.agreement().isInProgress() || state.cutDetector().change(true) != null;
    }

    /**
     * Proposes, votes and starts rounds as the evidence and the time ask for.
     *
     * @return the change that was decided, whose view is to be installed; null while there is none
     */
    ViewChange advance(long nowMicros) {
        if (!state.isMember()) {
            return null;
        }
        updateReachability(nowMicros);
        ViewChange change = detectedChange(nowMicros);
        boolean settled = nowMicros >= lastEvidenceMicros + PROPOSAL_SETTLE_MICROS;
        if (change != null && !change.equals(proposed) && settled) {
            proposed = change;
            state.agreement().propose(change);
            gossip.queueAgreement();
        }
        advanceRound(nowMicros);
        return state.agreement().decided();
    }

    private void updateReachability(long nowMicros) {
        QuorumReachability reachability = state.reachability();
        if (nowMicros >= nextUnreachableCountMicros) {
            nextUnreachableCountMicros = nowMicros + UNREACHABLE_COUNT_INTERVAL_MICROS;
            reachability.updateUnreachable(state.cutDetector().countUnreachable());
        }
        reachability.updateAgreement(state.agreement().isInProgress(), nowMicros);
    }

    /** The change without unstable members or, after a wait, the one that leaves those in the view. */
    private ViewChange detectedChange(long nowMicros) {
        ViewChange stable = state.cutDetector().change(false);
        ViewChange ignoringUnstable = stable == null ? state.cutDetector().change(true) : null;
        if (ignoringUnstable == null) {
            unstableSinceMicros = nowMicros;
            return stable;
        }
        return nowMicros >= unstableSinceMicros + UNSTABLE_WAIT_MICROS ? ignoringUnstable : null;
    }

    private void advanceRound(long nowMicros) {
        ViewAgreement agreement = state.agreement();
        if (!agreement.isInProgress()) {
            roundDeadlineMicros = nowMicros + drawTimeout(FAST_ROUND_TIMEOUT_MICROS);
        } else if (agreement.ballot() != lastBallot) {
            roundDeadlineMicros = nowMicros + drawTimeout(CLASSIC_ROUND_TIMEOUT_MICROS);
        } else if (agreement.decided() == null && nowMicros >= roundDeadlineMicros && agreement.hasCandidate()) {
            roundDeadlineMicros = nowMicros + drawTimeout(CLASSIC_ROUND_TIMEOUT_MICROS);
            agreement.startClassicRound();
            gossip.queueAgreement();
        }
        lastBallot = agreement.ballot();
    }

    private long drawTimeout(long timeoutMicros) {
        return timeoutMicros + random.nextLong(2 * timeoutMicros);
    }

    /** Forgets what was proposed in the last view. */
    void onViewInstalled(long nowMicros) {
        proposed = null;
        lastBallot = ViewAgreement.FAST_BALLOT;
        lastEvidenceMicros = nowMicros;
        unstableSinceMicros = nowMicros;
    }
}
