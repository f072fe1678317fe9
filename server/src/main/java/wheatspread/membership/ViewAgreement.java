package wheatspread.membership;

import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * Where the members of one view agree on the change that leads to the next: Fast Paxos, one decree a view
 * (L. Lamport, "Fast Paxos", 2006). Each member votes once in the fast round, for the change that it has
 * seen itself; where enough votes are equal, that is all. Where votes split or are lost, a member begins a
 * round of its own with a higher ballot, asks for what was voted, and leads to the one change that may have
 * been decided, or to its own where none can have been.
 *
 * <p>It sends nothing. What a member knows of a round only grows, whoever tells it and in whatever order:
 * votes are passed on by all, so a coordinator need not be heard by those that vote. A member that forgot
 * its votes must not vote again; that is so because a restarted one has another start number and is no
 * member of the view.
 */
public final class ViewAgreement {
    /** The ballot of the fast round. */
    public static final long FAST_BALLOT = 0;
    /** Of who has not voted. */
    public static final long NOT_VOTED = -1;

    private static final int COORDINATOR_BITS = 20;

    private final View view;
    private final int self;
    private final int classicQuorum;
    private final int fastQuorum;
    /** No vote is given in a ballot below this one. */
    private long promisedBallot = FAST_BALLOT;

    private long votedBallot = NOT_VOTED;
    private ViewChange votedChange;
    /** Who voted for what in the fast round. */
    private final Map<ViewChange, BitSet> fastVotes = new LinkedHashMap<>();
    /** The highest ballot that was heard of, with what is known of it. What is below it is forgotten. */
    private long ballot = FAST_BALLOT;

    private final TreeMap<Integer, Promise> promises = new TreeMap<>();
    private ViewChange proposal;
    private final BitSet acceptors = new BitSet();
    private ViewChange preferred;
    private ViewChange decided;

    /** What a member had voted when it promised to vote in no lower ballot. */
    public record Promise(long votedBallot, ViewChange votedChange) {}

    /** {@code self} is the index of this member in the view. */
    ViewAgreement(View view, int self) {
        this(view, self, view.classicQuorum(), view.fastQuorum());
    }

    /** With quorums of another size: for tests that show what these would do. */
    ViewAgreement(View view, int self, int classicQuorum, int fastQuorum) {
        this.view = view;
        this.self = self;
        this.classicQuorum = classicQuorum;
        this.fastQuorum = fastQuorum;
    }

    /** A copy of the moment. */
    ViewAgreement(ViewAgreement other) {
        this(other.view, other.self, other.classicQuorum, other.fastQuorum);
        promisedBallot = other.promisedBallot;
        votedBallot = other.votedBallot;
        votedChange = other.votedChange;
        other.fastVotes.forEach((change, bits) -> fastVotes.put(change, (BitSet) bits.clone()));
        ballot = other.ballot;
        promises.putAll(other.promises);
        proposal = other.proposal;
        acceptors.or(other.acceptors);
        preferred = other.preferred;
        decided = other.decided;
    }

    // ---- what this member does ----

    /** What this member would have decided; it votes for it where it may still vote in the fast round. */
    void propose(ViewChange change) {
        preferred = change;
        if (promisedBallot == FAST_BALLOT && votedBallot == NOT_VOTED) {
            votedBallot = FAST_BALLOT;
            votedChange = change;
            fastVotes.computeIfAbsent(change, none -> new BitSet()).set(self);
        }
        advance();
    }

    /** Begins a round of this member's own, above all that it has heard of. */
    void startClassicRound() {
        adoptBallot(((ballot >> COORDINATOR_BITS) + 1) << COORDINATOR_BITS | self);
        advance();
    }

    // ---- what it hears; each says whether that was news ----

    boolean onFastVotes(ViewChange change, BitSet voters) {
        if (fastVotes.size() >= view.size() && !fastVotes.containsKey(change)) {
            return false; // each member votes once, so somebody talks nonsense
        }
        BitSet known = fastVotes.computeIfAbsent(change, none -> new BitSet());
        int before = known.cardinality();
        known.or(voters);
        if (known.isEmpty()) {
            fastVotes.remove(change);
        }
        return known.cardinality() > before && advance();
    }

    boolean onPrepare(long of) {
        return of > ballot && adoptBallot(of) && advance();
    }

    boolean onPromise(long of, int from, Promise promise) {
        adoptBallot(of);
        return of == ballot && of > FAST_BALLOT && promises.putIfAbsent(from, promise) == null && advance();
    }

    boolean onAccept(long of, ViewChange change) {
        adoptBallot(of);
        if (of != ballot || proposal != null || of <= FAST_BALLOT) {
            return false;
        }
        proposal = change;
        return advance();
    }

    boolean onAccepted(long of, ViewChange change, BitSet voters) {
        boolean news = onAccept(of, change);
        if (of != ballot || of <= FAST_BALLOT) {
            return news;
        }
        int before = acceptors.cardinality();
        acceptors.or(voters);
        return acceptors.cardinality() > before && advance() || news;
    }

    /**
     * Somebody knows what was decided. Who knows takes no part in rounds any more, and tells this instead.
     */
    boolean onDecided(ViewChange change) {
        boolean news = decided == null;
        decided = news ? change : decided;
        return news;
    }

    private boolean adoptBallot(long to) {
        if (to > ballot) {
            ballot = to;
            promises.clear();
            proposal = null;
            acceptors.clear();
        }
        return true;
    }

    /** Does all that what is known now leads to. */
    private boolean advance() {
        if (decided != null) {
            return true;
        }
        if (ballot > promisedBallot) {
            promisedBallot = ballot;
            promises.put(self, new Promise(votedBallot, votedChange));
        }
        if (ballot > FAST_BALLOT && coordinator() == self && proposal == null && promises.size() >= classicQuorum) {
            proposal = choose();
        }
        if (proposal != null && votedBallot < ballot && promisedBallot <= ballot) {
            promisedBallot = ballot;
            votedBallot = ballot;
            votedChange = proposal;
            acceptors.set(self);
        }
        if (proposal != null && acceptors.cardinality() >= classicQuorum) {
            decided = proposal;
        }
        fastVotes.forEach((change, voters) -> {
            if (voters.cardinality() >= fastQuorum && decided == null) {
                decided = change;
            }
        });
        return true;
    }

    /** The one change that may have been decided in a lower ballot, or the one that this member prefers. */
    private ViewChange choose() {
        long latest =
                promises.values().stream().mapToLong(Promise::votedBallot).max().orElse(NOT_VOTED);
        Map<ViewChange, Integer> counts = new HashMap<>();
        for (Promise one : promises.values()) {
            if (one.votedBallot == latest && latest > FAST_BALLOT) {
                return one.votedChange;
            }
            if (one.votedBallot == FAST_BALLOT) {
                counts.merge(one.votedChange, 1, Integer::sum);
            }
        }
        // so many of those heard must have voted for it, if it was decided in the fast round
        int enough = promises.size() + fastQuorum - view.size();
        ViewChange most = preferred;
        int votes = 0;
        for (Map.Entry<ViewChange, Integer> one : counts.entrySet()) {
            if (one.getValue() >= Math.max(1, enough)) {
                return one.getKey();
            }
            if (preferred == null && one.getValue() > votes) {
                votes = one.getValue();
                most = one.getKey();
            }
        }
        return most;
    }

    // ---- what is known ----

    private int coordinator() {
        return (int) (ballot & ((1L << COORDINATOR_BITS) - 1));
    }

    /** The change that was decided; null while none is known to be. */
    ViewChange decided() {
        return decided;
    }

    /** Whether anybody is known to have voted or begun a round. */
    boolean isInProgress() {
        return ballot > FAST_BALLOT || !fastVotes.isEmpty();
    }

    /** Whether a round that this member begins could lead to anything. */
    boolean hasCandidate() {
        return preferred != null || !fastVotes.isEmpty();
    }

    Map<ViewChange, BitSet> fastVotes() {
        return fastVotes;
    }

    long ballot() {
        return ballot;
    }

    Map<Integer, Promise> promises() {
        return promises;
    }

    ViewChange proposal() {
        return proposal;
    }

    BitSet acceptors() {
        return acceptors;
    }

    /** Equal where the same is known of votes and rounds, and very likely different where not. */
    long digest() {
        return fastVotes.hashCode() * 31L * 31
                + promises.hashCode() * 31L
                + acceptors.hashCode()
                + ballot
                + Objects.hashCode(proposal);
    }

    /** What tells this state from any other. */
    @Override
    public String toString() {
        return promisedBallot + "|" + votedBallot + votedChange + "|" + fastVotes + "|" + ballot + promises + proposal
                + acceptors + "|" + preferred + "|" + decided;
    }
}
