package wheatspread.membership;

import java.util.BitSet;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * Agreement of the members of one view on the change that leads to the next: Fast Paxos with one instance a view
 * (L. Lamport, "Fast Paxos", 2006). In the fast round each member votes once, for the change that its own cut detector
 * found; equal votes of a fast quorum decide. Where votes split or are lost, a member starts a classic round with a
 * higher ballot: it collects promises (phase 1), proposes the only change that may have been decided, or its own where
 * none can have been, and a classic quorum that accepts it decides (phase 2).
 *
 * <p>It sends nothing. What a member knows of a round only grows, whoever it comes from and in whatever order, so votes
 * and promises spread by gossip and a coordinator need not be reachable from those that vote. Safety rests on this: a
 * member that forgot its votes never votes again in this view. A restarted one does not, as it is another member.
 */
public final class ViewAgreement {
    /** The ballot of the fast round; classic rounds have higher ones. */
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
    /** As an acceptor: this member votes in no ballot below this one. */
    private long promisedBallot = FAST_BALLOT;
    /** As an acceptor: the ballot of its last vote. */
    private long votedBallot = NOT_VOTED;
    /** As an acceptor: its last vote; null before. */
    private ViewChange votedChange;
    /** The votes of the fast round by change, as indexes of members. */
    private final Map<ViewChange, BitSet> fastVotes = new LinkedHashMap<>();
    /** The highest ballot heard of. The following is known of that one; what is known of lower ones is forgotten. */
    private long ballot = FAST_BALLOT;

    private final TreeMap<Integer, Promise> promises = new TreeMap<>();
    /** What the coordinator proposed in phase 2a; null before. */
    private ViewChange proposal;

    private final BitSet acceptors = new BitSet();
    /** The change that this member's cut detector found last; null before. */
    private ViewChange preferred;

    private ViewChange decided;

    /**
     * What a member sends in phase 1b: its last vote before it promised to vote in no lower ballot.
     *
     * @param votedBallot {@link #NOT_VOTED} where it has not voted
     * @param votedChange null where it has not voted
     */
    public record Promise(long votedBallot, ViewChange votedChange) {}

    ViewAgreement(View view, int ownIndex) {
        this(view, ownIndex, view.classicQuorum(), view.fastQuorum());
    }

    /** With quorums of another size, for tests that show what those would do. */
    ViewAgreement(View view, int ownIndex, int classicQuorum, int fastQuorum) {
        this.view = view;
        this.ownIndex = ownIndex;
        this.classicQuorum = classicQuorum;
        this.fastQuorum = fastQuorum;
    }

    /** A copy of the present state. */
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

    /** Proposes a change: votes for it in the fast round, if this member may still vote there. */
    void propose(ViewChange change) {
        preferred = change;
        if (promisedBallot == FAST_BALLOT && votedBallot == NOT_VOTED) {
            votedBallot = FAST_BALLOT;
            votedChange = change;
            fastVotes.computeIfAbsent(change, none -> new BitSet()).set(ownIndex);
        }
        advance();
    }

    /** Starts a classic round with this member as coordinator, above all ballots heard of (phase 1a). */
    void startClassicRound() {
        long round = (ballot >> COORDINATOR_BITS) + 1;
        adoptBallot(round << COORDINATOR_BITS | ownIndex);
        advance();
    }

    /** Votes of the fast round (phase 2b of the fast ballot); returns whether any is new. */
    boolean onFastVotes(ViewChange change, BitSet voters) {
        boolean tooManyChanges = fastVotes.size() >= view.size() && !fastVotes.containsKey(change);
        if (tooManyChanges) {
            return false; // each member votes once, so some sender is faulty
        }
        BitSet known = fastVotes.computeIfAbsent(change, none -> new BitSet());
        int knownBefore = known.cardinality();
        known.or(voters);
        if (known.isEmpty()) {
            fastVotes.remove(change);
        }
        return known.cardinality() > knownBefore && advance();
    }

    /** A classic round was started (phase 1a); returns whether that is new. */
    boolean onPrepare(long of) {
        return of > ballot && adoptBallot(of) && advance();
    }

    /** A member's promise (phase 1b); returns whether it is new. */
    boolean onPromise(long of, int from, Promise promise) {
        adoptBallot(of);
        return of == ballot && of > FAST_BALLOT && promises.putIfAbsent(from, promise) == null && advance();
    }

    /** The coordinator's proposal (phase 2a); returns whether it is new. */
    boolean onAccept(long of, ViewChange change) {
        adoptBallot(of);
        if (of != ballot || proposal != null || of <= FAST_BALLOT) {
            return false;
        }
        proposal = change;
        return advance();
    }

    /** The coordinator's proposal with votes for it (phase 2b); returns whether any of it is new. */
    boolean onAccepted(long of, ViewChange change, BitSet voters) {
        boolean newProposal = onAccept(of, change);
        if (of != ballot || of <= FAST_BALLOT) {
            return newProposal;
        }
        int knownBefore = acceptors.cardinality();
        acceptors.or(voters);
        return acceptors.cardinality() > knownBefore && advance() || newProposal;
    }

    /** Another member knows the decision. A member that knows it takes no part in rounds and passes it on instead. */
    boolean onDecided(ViewChange change) {
        boolean isNew = decided == null;
        decided = isNew ? change : decided;
        return isNew;
    }

    /** Follows a higher ballot; always true, to be chained. */
    private boolean adoptBallot(long other) {
        if (other > ballot) {
            ballot = other;
            promises.clear();
            proposal = null;
            acceptors.clear();
        }
        return true;
    }

    /** Takes all steps that what is known now allows; always true, to be chained. */
    private boolean advance() {
        if (decided == null) {
            promise();
            proposeAsCoordinator();
            accept();
            decide();
        }
        return true;
    }

    /** Phase 1b: promises to vote in no lower ballot. */
    private void promise() {
        if (ballot > promisedBallot) {
            promisedBallot = ballot;
            promises.put(ownIndex, new Promise(votedBallot, votedChange));
        }
    }

    /** Phase 2a: as coordinator with promises of a classic quorum, proposes a change. */
    private void proposeAsCoordinator() {
        boolean coordinator = ballot > FAST_BALLOT && coordinator() == ownIndex;
        if (coordinator && proposal == null && promises.size() >= classicQuorum) {
            proposal = chooseProposal();
        }
    }

    /** Phase 2b: votes for the proposal, unless it promised not to. */
    private void accept() {
        if (proposal != null && votedBallot < ballot && promisedBallot <= ballot) {
            promisedBallot = ballot;
            votedBallot = ballot;
            votedChange = proposal;
            acceptors.set(ownIndex);
        }
    }

    /** Learns the decision from the votes of a quorum, of the classic round or else of the fast one. */
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

    /** The only change that may have been decided in a lower ballot; where none can have been, the preferred one. */
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
        // a change decided in the fast round has at least so many votes among any members that promised
        int possiblyDecided = Math.max(1, promises.size() + fastQuorum - view.size());
        ViewChange leadingChange = preferred;
        int maxVotes = 0;
        for (Map.Entry<ViewChange, Integer> entry : fastVoteCounts.entrySet()) {
            if (entry.getValue() >= possiblyDecided) {
                return entry.getKey();
            }
            if (preferred == null && entry.getValue() > maxVotes) {
                maxVotes = entry.getValue();
                leadingChange = entry.getKey();
            }
        }
        return leadingChange;
    }

    /** The index of the member that coordinates the current classic round. */
    private int coordinator() {
        return (int) (ballot & COORDINATOR_MASK);
    }

    /** The change that was decided; null while none is known to be. */
    ViewChange decided() {
        return decided;
    }

    /** Whether any member is known to have voted or started a round. */
    boolean isInProgress() {
        return ballot > FAST_BALLOT || !fastVotes.isEmpty();
    }

    /** Whether a round that this member coordinates would have a change to propose. */
    boolean hasCandidate() {
        return preferred != null || !fastVotes.isEmpty();
    }

    /** The votes of the fast round by change, as indexes of members. */
    Map<ViewChange, BitSet> fastVotes() {
        return Collections.unmodifiableMap(fastVotes);
    }

    /** The highest ballot heard of. */
    long ballot() {
        return ballot;
    }

    /** The promises of the current classic round, by index of the member. */
    Map<Integer, Promise> promises() {
        return Collections.unmodifiableMap(promises);
    }

    /** The coordinator's proposal in the current classic round; null before. */
    ViewChange proposal() {
        return proposal;
    }

    /** Who accepted that proposal, by index; not to be modified. */
    BitSet acceptors() {
        return acceptors;
    }

    /** Equal where the same is known of votes and rounds, and very likely different where not. */
    long digest() {
        return fastVotes.hashCode() * DIGEST_FACTOR * DIGEST_FACTOR
                + promises.hashCode() * DIGEST_FACTOR
                + acceptors.hashCode()
                + ballot
                + Objects.hashCode(proposal);
    }

    /** The whole state: two agreements with equal texts behave alike. */
    @Override
    public String toString() {
        return promisedBallot + "|" + votedBallot + votedChange + "|" + fastVotes + "|" + ballot + promises + proposal
                + acceptors + "|" + preferred + "|" + decided;
    }
}
