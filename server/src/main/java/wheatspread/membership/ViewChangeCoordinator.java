package wheatspread.membership;

import java.util.random.RandomGenerator;

/**
 * Drives the agreement on the next view: proposes the change that the cut detector finds once the evidence has settled,
 * and starts a classic round of Fast Paxos if the fast round does not decide.
 */
final class ViewChangeCoordinator {
    /** A change is proposed after this time without new evidence, so that simultaneous crashes become one change. */
    private static final long PROPOSAL_SETTLE_MICROS = 200_000;
    /**
     * How long a proposal waits for a member whose report count is between the low and the high watermark before it
     * leaves that member in the view. Suspicion timeouts differ between observers, so their reports are spread in time.
     */
    private static final long UNSTABLE_WAIT_MICROS = 5_000_000;
    /**
     * A member waits one to three times this time for the fast round; a random wait avoids simultaneous classic rounds.
     */
    private static final long FAST_ROUND_TIMEOUT_MICROS = 250_000;
    /** A member waits one to three times this time for a classic round before it starts the next round. */
    private static final long CLASSIC_ROUND_TIMEOUT_MICROS = 1_000_000;
    /**
     * Bounds the cost of counting, which visits all members: under message loss, suspicions arrive with every message.
     */
    private static final long UNREACHABLE_COUNT_INTERVAL_MICROS = 250_000;

    private final MembershipState state;
    private final GossipDissemination gossip;
    private final RandomGenerator random;
    /** The change that this member proposed last in this view; null before its first proposal. */
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

    /** Records new evidence about members. A change that is not proposed yet waits until the evidence has settled. */
    void onEvidence(long nowMicros) {
        lastEvidenceMicros = nowMicros;
    }

    /** Returns whether there is a change to propose or to agree on; valid only while this server is a member. */
    boolean isChangePending() {
        return state.agreement().isInProgress() || state.cutDetector().change(true) != null;
    }

    /**
     * Proposes the detected change and starts a classic round if either is due.
     *
     * @return the decided change, whose view the caller must install; null while there is no decision
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

    /** Returns the stable change or, after a wait, the change that keeps unstable members in the view; null if none. */
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

    /** Resets the proposal and the timers for a new view. */
    void onViewInstalled(long nowMicros) {
        proposed = null;
        lastBallot = ViewAgreement.FAST_BALLOT;
        lastEvidenceMicros = nowMicros;
        unstableSinceMicros = nowMicros;
    }
}
