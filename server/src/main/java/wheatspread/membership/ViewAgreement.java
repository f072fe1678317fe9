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
    public static final long FAST = 0;
    /** Of who has not voted. */
    public static final long NEVER = -1;

    private static final int OWNER_BITS = 20;

    private final View view;
    private final int self;
    private final int classicQuorum;
    private final int fastQuorum;
    /** No vote is given in a ballot below this one. */
    private long promised = FAST;

    private long votedIn = NEVER;
    private ViewChange voted;
    /** Who voted for what in the fast round. */
    private final Map<ViewChange, BitSet> fastVotes = new LinkedHashMap<>();
    /** The highest ballot that was heard of, with what is known of it. What is below it is forgotten. */
    private long ballot = FAST;

    private final TreeMap<Integer, Promise> promises = new TreeMap<>();
    private ViewChange asked;
    private final BitSet accepted = new BitSet();
    private ViewChange preferred;
    private ViewChange decided;

    /** What a member had voted when it promised to vote in no lower ballot. */
    public record Promise(long votedIn, ViewChange voted) {}

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
        promised = other.promised;
        votedIn = other.votedIn;
        voted = other.voted;
        other.fastVotes.forEach((change, bits) -> fastVotes.put(change, (BitSet) bits.clone()));
        ballot = other.ballot;
        promises.putAll(other.promises);
        asked = other.asked;
        accepted.or(other.accepted);
        preferred = other.preferred;
        decided = other.decided;
    }

    // ---- what this member does ----

    /** What this member would have decided; it votes for it where it may still vote in the fast round. */
    void propose(ViewChange change) {
        preferred = change;
        if (promised == FAST && votedIn == NEVER) {
            votedIn = FAST;
            voted = change;
            fastVotes.computeIfAbsent(change, none -> new BitSet()).set(self);
        }
        advance();
    }

    /** Begins a round of this member's own, above all that it has heard of. */
    void begin() {
        raise(((ballot >> OWNER_BITS) + 1) << OWNER_BITS | self);
        advance();
    }

    // ---- what it hears; each says whether that was news ----

    boolean heardFast(ViewChange change, BitSet voters) {
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

    boolean heardPrepare(long of) {
        return of > ballot && raise(of) && advance();
    }

    boolean heardPromise(long of, int from, Promise promise) {
        raise(of);
        return of == ballot && of > FAST && promises.putIfAbsent(from, promise) == null && advance();
    }

    boolean heardAccept(long of, ViewChange change) {
        raise(of);
        if (of != ballot || asked != null || of <= FAST) {
            return false;
        }
        asked = change;
        return advance();
    }

    boolean heardAccepted(long of, ViewChange change, BitSet voters) {
        boolean news = heardAccept(of, change);
        if (of != ballot || of <= FAST) {
            return news;
        }
        int before = accepted.cardinality();
        accepted.or(voters);
        return accepted.cardinality() > before && advance() || news;
    }

    /**
     * Somebody knows what was decided. Who knows takes no part in rounds any more, and tells this instead.
     */
    boolean heardDecided(ViewChange change) {
        boolean news = decided == null;
        decided = news ? change : decided;
        return news;
    }

    private boolean raise(long to) {
        if (to > ballot) {
            ballot = to;
            promises.clear();
            asked = null;
            accepted.clear();
        }
        return true;
    }

    /** Does all that what is known now leads to. */
    private boolean advance() {
        if (decided != null) {
            return true;
        }
        if (ballot > promised) {
            promised = ballot;
            promises.put(self, new Promise(votedIn, voted));
        }
        if (ballot > FAST && owner() == self && asked == null && promises.size() >= classicQuorum) {
            asked = choose();
        }
        if (asked != null && votedIn < ballot && promised <= ballot) {
            promised = ballot;
            votedIn = ballot;
            voted = asked;
            accepted.set(self);
        }
        if (asked != null && accepted.cardinality() >= classicQuorum) {
            decided = asked;
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
                promises.values().stream().mapToLong(Promise::votedIn).max().orElse(NEVER);
        Map<ViewChange, Integer> counts = new HashMap<>();
        for (Promise one : promises.values()) {
            if (one.votedIn == latest && latest > FAST) {
                return one.voted;
            }
            if (one.votedIn == FAST) {
                counts.merge(one.voted, 1, Integer::sum);
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

    private int owner() {
        return (int) (ballot & ((1L << OWNER_BITS) - 1));
    }

    /** The change that was decided; null while none is known to be. */
    ViewChange decided() {
        return decided;
    }

    /** Whether anybody is known to have voted or begun a round. */
    boolean underWay() {
        return ballot > FAST || !fastVotes.isEmpty();
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

    ViewChange asked() {
        return asked;
    }

    BitSet accepted() {
        return accepted;
    }

    /** Equal where the same is known of votes and rounds, and very likely different where not. */
    long digest() {
        return fastVotes.hashCode() * 31L * 31
                + promises.hashCode() * 31L
                + accepted.hashCode()
                + ballot
                + Objects.hashCode(asked);
    }

    /** What tells this state from any other. */
    @Override
    public String toString() {
        return promised + "|" + votedIn + voted + "|" + fastVotes + "|" + ballot + promises + asked + accepted + "|"
                + preferred + "|" + decided;
    }
}
