package wheatspread.membership;

import java.util.BitSet;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * The agreement of the members of one view on the next view change: Fast Paxos with one instance per view (L. Lamport,
 * "Fast Paxos", 2006). In the fast round each member votes once, for the change that its own cut detector found; equal
 * votes of a fast quorum decide. If votes split or are lost, a member starts a classic round with a higher ballot: it
 * collects promises (phase 1), proposes the only change that may have been decided, or its own change if no change can
 * have been decided, and the votes of a classic quorum decide (phase 2).
 *
 * <p>This class sends no messages. A member's knowledge of a round only grows, independent of the senders and the order
 * of messages, so votes and promises can spread by gossip and acceptors need not reach the coordinator directly. Safety
 * requires that a member that lost its votes never votes again in this view. A restarted server satisfies this, since
 * it is a different member.
 */
public final class ViewAgreement {
    /** The ballot of the fast round; classic rounds have higher ballots. */
    public static final long FAST_BALLOT = 0;
    /** The ballot of a member that has not voted. */
    public static final long NOT_VOTED = -1;
    /** The low bits of a classic ballot are the coordinator's index, so that no two members use the same ballot. */
    private static final int COORDINATOR_BITS = 20;

    private static final long COORDINATOR_MASK = (1L << COORDINATOR_BITS) - 1;
    private static final long DIGEST_FACTOR = 31;

    private final View view;
    private final int ownIndex;
    private final int classicQuorum;
    private final int fastQuorum;
    /** The acceptor state: this member votes in no ballot below this value. */
    private long promisedBallot = FAST_BALLOT;
    /** The acceptor state: the ballot of this member's last vote. */
    private long votedBallot = NOT_VOTED;
    /** The acceptor state: the change in this member's last vote; null before its first vote. */
    private ViewChange votedChange;
    /** The indexes of the members that voted for each change in the fast round. */
    private final Map<ViewChange, BitSet> fastVotes = new LinkedHashMap<>();
    /** The highest ballot received. The promises, proposal and acceptors below belong to it; lower ones are dropped. */
    private long ballot = FAST_BALLOT;

    private final TreeMap<Integer, Promise> promises = new TreeMap<>();
    /** The change that the coordinator proposed in phase 2a; null before that. */
    private ViewChange proposal;

    private final BitSet acceptors = new BitSet();
    /** The change that this member's cut detector found last; null before the first. */
    private ViewChange preferred;

    private ViewChange decided;

    /**
     * The content of a phase 1b message: the member's last vote before it promised to vote in no lower ballot.
     *
     * @param votedBallot the ballot of that vote; {@link #NOT_VOTED} if the member has not voted
     * @param votedChange the change in that vote; null if the member has not voted
     */
    public record Promise(long votedBallot, ViewChange votedChange) {}

    ViewAgreement(View view, int ownIndex) {
        this(view, ownIndex, view.classicQuorum(), view.fastQuorum());
    }

    /** Creates an agreement with quorums of other sizes, for tests of the effects of wrong sizes. */
    ViewAgreement(View view, int ownIndex, int classicQuorum, int fastQuorum) {
        this.view = view;
        this.ownIndex = ownIndex;
        this.classicQuorum = classicQuorum;
        this.fastQuorum = fastQuorum;
    }

    /** Creates a copy of an agreement in its current state. */
    ViewAgreement(ViewAgreement other) {
        this(other.view, other.ownIndex, other.classicQuorum, other.fastQuorum);
        promisedBallot = other.promisedBallot;
        votedBallot = other.votedBallot;
        votedChange = other.votedChange;
        other.fastVotes.forEach((change, voters) -> fastVotes.put(change, (BitSet) voters.clone()));
        ballot = other.ballot;
        promises.putAll(other.promises);
        proposal = other.proposal;
        acceptors.or(other.acceptors);
        preferred = other.preferred;
        decided = other.decided;
    }

    /** Proposes a change: votes for it in the fast round, unless this member has voted or promised a higher ballot. */
    void propose(ViewChange change) {
        preferred = change;
        if (promisedBallot == FAST_BALLOT && votedBallot == NOT_VOTED) {
            votedBallot = FAST_BALLOT;
            votedChange = change;
            fastVotes.computeIfAbsent(change, none -> new BitSet()).set(ownIndex);
        }
        advance();
    }

    /** Starts a classic round with this member as coordinator, with a ballot above all received ones (phase 1a). */
    void startClassicRound() {
        long round = (ballot >> COORDINATOR_BITS) + 1;
        adoptBallot(round << COORDINATOR_BITS | ownIndex);
        advance();
    }

    /** Merges votes of the fast round (phase 2b of the fast ballot); returns whether any vote was new. */
    boolean onFastVotes(ViewChange change, BitSet voters) {
        boolean tooManyChanges = fastVotes.size() >= view.size() && !fastVotes.containsKey(change);
        if (tooManyChanges) {
            return false; // each member votes once, so a sender is faulty
        }
        BitSet known = fastVotes.computeIfAbsent(change, none -> new BitSet());
        int knownBefore = known.cardinality();
        known.or(voters);
        if (known.isEmpty()) {
            fastVotes.remove(change);
        }
        return known.cardinality() > knownBefore && advance();
    }

    /** Handles the start of a classic round (phase 1a); returns whether the ballot was new. */
    boolean onPrepare(long preparedBallot) {
        return preparedBallot > ballot && adoptBallot(preparedBallot) && advance();
    }

    /** Handles a member's promise (phase 1b); returns whether it was new. */
    boolean onPromise(long promiseBallot, int member, Promise promise) {
        adoptBallot(promiseBallot);
        return promiseBallot == ballot
                && promiseBallot > FAST_BALLOT
                && promises.putIfAbsent(member, promise) == null
                && advance();
    }

    /** Handles the coordinator's proposal (phase 2a); returns whether it was new. */
    boolean onAccept(long proposalBallot, ViewChange change) {
        adoptBallot(proposalBallot);
        if (proposalBallot != ballot || proposal != null || proposalBallot <= FAST_BALLOT) {
            return false;
        }
        proposal = change;
        return advance();
    }

    /**
     * Handles the coordinator's proposal and votes for it (phase 2b); returns whether the proposal or a vote was new.
     */
    boolean onAccepted(long voteBallot, ViewChange change, BitSet voters) {
        boolean isNewProposal = onAccept(voteBallot, change);
        if (voteBallot != ballot || voteBallot <= FAST_BALLOT) {
            return isNewProposal;
        }
        int knownBefore = acceptors.cardinality();
        acceptors.or(voters);
        return acceptors.cardinality() > knownBefore && advance() || isNewProposal;
    }

    /** Records a decision that another member knows, after which this member takes no further steps in rounds. */
    boolean onDecided(ViewChange change) {
        boolean isNew = decided == null;
        decided = isNew ? change : decided;
        return isNew;
    }

    /** Adopts a ballot that is higher than the current one; always returns true, for use in conditions. */
    private boolean adoptBallot(long receivedBallot) {
        if (receivedBallot > ballot) {
            ballot = receivedBallot;
            promises.clear();
            proposal = null;
            acceptors.clear();
        }
        return true;
    }

    /** Takes all steps that the current knowledge allows; always returns true, for use in conditions. */
    private boolean advance() {
        if (decided == null) {
            promise();
            proposeAsCoordinator();
            accept();
            decide();
        }
        return true;
    }

    /** Phase 1b: promises to vote in no ballot below the current one. */
    private void promise() {
        if (ballot > promisedBallot) {
            promisedBallot = ballot;
            promises.put(ownIndex, new Promise(votedBallot, votedChange));
        }
    }

    /** Phase 2a: proposes a change if this member is the coordinator and has promises of a classic quorum. */
    private void proposeAsCoordinator() {
        boolean isCoordinator = ballot > FAST_BALLOT && coordinator() == ownIndex;
        if (isCoordinator && proposal == null && promises.size() >= classicQuorum) {
            proposal = chooseProposal();
        }
    }

    /** Phase 2b: votes for the proposal, unless this member promised a higher ballot. */
    private void accept() {
        if (proposal != null && votedBallot < ballot && promisedBallot <= ballot) {
            promisedBallot = ballot;
            votedBallot = ballot;
            votedChange = proposal;
            acceptors.set(ownIndex);
        }
    }

    /** Records the decision if a quorum has voted for a change, in the classic round or else in the fast round. */
    private void decide() {
        if (proposal != null && acceptors.cardinality() >= classicQuorum) {
            decided = proposal;
        }
        fastVotes.forEach((change, voters) -> {
            if (voters.cardinality() >= fastQuorum && decided == null) {
                decided = change;
            }
        });
    }

    /**
     * Returns the only change that may have been decided in a lower ballot; if no change can have been decided, the
     * preferred change or, without a preference, the change with the most fast votes.
     */
    private ViewChange chooseProposal() {
        long highestVote =
                promises.values().stream().mapToLong(Promise::votedBallot).max().orElse(NOT_VOTED);
        Map<ViewChange, Integer> fastVoteCounts = new HashMap<>();
        for (Promise promise : promises.values()) {
            if (promise.votedBallot == highestVote && highestVote > FAST_BALLOT) {
                return promise.votedChange;
            }
            if (promise.votedBallot == FAST_BALLOT) {
                fastVoteCounts.merge(promise.votedChange, 1, Integer::sum);
            }
        }
        // a change that the fast round decided has at least this number of votes among the members that promised
        int minDecidedVotes = Math.max(1, promises.size() + fastQuorum - view.size());
        ViewChange leadingChange = preferred;
        int maxVotes = 0;
        for (Map.Entry<ViewChange, Integer> entry : fastVoteCounts.entrySet()) {
            if (entry.getValue() >= minDecidedVotes) {
                return entry.getKey();
            }
            if (preferred == null && entry.getValue() > maxVotes) {
                maxVotes = entry.getValue();
                leadingChange = entry.getKey();
            }
        }
        return leadingChange;
    }

    /** Returns the index of the coordinator of the current classic round. */
    private int coordinator() {
        return (int) (ballot & COORDINATOR_MASK);
    }

    /** Returns the decided change; null while no decision is known. */
    ViewChange decided() {
        return decided;
    }

    /** Returns whether a vote or a classic round is known. */
    boolean isInProgress() {
        return ballot > FAST_BALLOT || !fastVotes.isEmpty();
    }

    /** Returns whether this member would have a change to propose as coordinator. */
    boolean hasCandidate() {
        return preferred != null || !fastVotes.isEmpty();
    }

    /** Returns the indexes of the members that voted for each change in the fast round. */
    Map<ViewChange, BitSet> fastVotes() {
        return Collections.unmodifiableMap(fastVotes);
    }

    /** Returns the highest ballot received. */
    long ballot() {
        return ballot;
    }

    /** Returns the promises of the current classic round, by member index. */
    Map<Integer, Promise> promises() {
        return Collections.unmodifiableMap(promises);
    }

    /** Returns the coordinator's proposal in the current classic round; null before it is received. */
    ViewChange proposal() {
        return proposal;
    }

    /** Returns the indexes of the members that voted for the proposal; must not be modified. */
    BitSet acceptors() {
        return acceptors;
    }

    /**
     * Returns a digest of the known votes and rounds; members with different knowledge very likely have different
     * digests.
     */
    long digest() {
        return fastVotes.hashCode() * DIGEST_FACTOR * DIGEST_FACTOR
                + promises.hashCode() * DIGEST_FACTOR
                + acceptors.hashCode()
                + ballot
                + Objects.hashCode(proposal);
    }

    /** Returns the whole state as text; two agreements with equal texts behave in the same way. */
    @Override
    public String toString() {
        return promisedBallot + "|" + votedBallot + votedChange + "|" + fastVotes + "|" + ballot + promises + proposal
                + acceptors + "|" + preferred + "|" + decided;
    }
}
