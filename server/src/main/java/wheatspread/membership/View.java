package wheatspread.membership;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A numbered list of members, which is the same on every server that has a view with this number. Members are sorted by
 * name; votes and reports refer to a member by its index in the list. Immutable.
 */
public final class View {
    /** The number of observers of each member; in a smaller view all other members observe it. */
    public static final int OBSERVERS_PER_SUBJECT = 10;
    /** Returned instead of the index of a member that is not in the view. */
    static final int NO_MEMBER = -1;
    /** A member is unstable if at least this share of its observers reports it (Rapid's L). */
    private static final double LOW_WATERMARK_SHARE = 0.3;
    /** A member is removed if at least this share of its observers reports it (Rapid's H). */
    private static final double HIGH_WATERMARK_SHARE = 0.8;
    /** If a member has two or more observers, the report of a single one does not remove it. */
    private static final int MIN_HIGH_WATERMARK = 2;

    private final ViewId id;
    private final List<Member> members;
    /** The hashes of the members' names, by member index. */
    private final long[] nameHashes;
    /** The indexes of each member's observers, by member index. */
    private final int[][] observers;

    /**
     * Creates a view of these members, which may be given in any order.
     *
     * @throws IllegalArgumentException if two members have the same name
     */
    public View(ViewId id, List<Member> members) {
        this.id = id;
        List<Member> sorted = new ArrayList<>(members);
        sorted.sort(Comparator.comparing(Member::id));
        this.members = List.copyOf(sorted);
        checkNamesDiffer(sorted);
        nameHashes =
                sorted.stream().mapToLong(member -> hash(member.id().name())).toArray();
        observers = new int[sorted.size()][];
        for (int index = 0; index < observers.length; index++) {
            observers[index] = observersOf(sorted.get(index).id().name(), index);
        }
    }

    private static void checkNamesDiffer(List<Member> members) {
        Set<String> names = new HashSet<>();
        for (Member member : members) {
            String name = member.id().name();
            if (!names.add(name)) {
                throw new IllegalArgumentException("two members have the name " + name);
            }
        }
    }

    public ViewId id() {
        return id;
    }

    /** Returns all members, in the order of their indexes. */
    public List<Member> members() {
        return members;
    }

    public int size() {
        return members.size();
    }

    /** Returns the index of a member; -1 if it is not in the view. */
    public int indexOf(MemberId member) {
        int low = 0;
        int high = members.size() - 1;
        while (low <= high) {
            int middle = (low + high) >>> 1;
            int order = members.get(middle).id().compareTo(member);
            if (order == 0) {
                return middle;
            }
            low = order < 0 ? middle + 1 : low;
            high = order < 0 ? high : middle - 1;
        }
        return NO_MEMBER;
    }

    /** Returns the member with this name, of any incarnation; null if the view has none. */
    public Member memberNamed(String name) {
        return members.stream()
                .filter(member -> member.id().name().equals(name))
                .findFirst()
                .orElse(null);
    }

    /** Returns a copy of the indexes of a member's observers. */
    public int[] observersOf(int member) {
        return observers[member].clone();
    }

    /**
     * Returns the indexes of the observers of a member or joiner with this name, which are the members with the highest
     * scores for the name (rendezvous hashing). With this choice each member observes about as many members as it has
     * observers, the sets of observers differ, and few pairs change when one member joins or departs.
     *
     * @param excluded the index of a member that must not be an observer; -1 for none
     */
    public int[] observersOf(String name, int excluded) {
        int count = Math.min(OBSERVERS_PER_SUBJECT, members.size() - (excluded < 0 ? 0 : 1));
        long subjectHash = hash(name);
        int[] bestCandidates = new int[count];
        long[] scores = new long[count];
        int foundCount = 0;
        for (int candidate = 0; candidate < members.size(); candidate++) {
            if (candidate == excluded) {
                continue;
            }
            long score = combine(subjectHash, nameHashes[candidate]);
            int rank = foundCount;
            while (rank > 0 && scores[rank - 1] < score) {
                rank--;
            }
            if (rank < count) {
                int shifted = Math.min(foundCount, count - 1) - rank;
                System.arraycopy(scores, rank, scores, rank + 1, shifted);
                System.arraycopy(bestCandidates, rank, bestCandidates, rank + 1, shifted);
                scores[rank] = score;
                bestCandidates[rank] = candidate;
                foundCount = Math.min(count, foundCount + 1);
            }
        }
        return bestCandidates;
    }

    private static long hash(String name) {
        return Hashing.komihash5_0().hashCharsToLong(name);
    }

    /** Combines two hashes in a few operations, since a large fleet has millions of pairs. */
    private static long combine(long first, long second) {
        long mixed = first + Long.rotateLeft(second, 32) * 0x9e3779b97f4a7c15L;
        mixed = (mixed ^ mixed >>> 32) * 0xd6e8feb86659fd93L;
        mixed = (mixed ^ mixed >>> 32) * 0xd6e8feb86659fd93L;
        return mixed ^ mixed >>> 32;
    }

    /** Returns the number of reports at which a subject with this number of observers becomes unstable. */
    public static int lowWatermark(int observerCount) {
        return Math.max(1, (int) Math.ceil(LOW_WATERMARK_SHARE * observerCount));
    }

    /**
     * Returns the number of reports at which a subject with this number of observers is removed; at least 2 for two or
     * more observers.
     */
    public static int highWatermark(int observerCount) {
        int byShare = (int) Math.ceil(HIGH_WATERMARK_SHARE * observerCount);
        return Math.max(Math.min(MIN_HIGH_WATERMARK, observerCount), byShare);
    }

    /** Returns the size of a quorum of a classic round; any two classic quorums intersect. */
    public int classicQuorum() {
        return members.size() / 2 + 1;
    }

    /**
     * Returns the number of equal votes that decide the fast round: the smallest size for which any two fast quorums
     * and any classic quorum intersect (L. Lamport, "Fast Paxos", 2006: the fast quorum requirement).
     */
    public int fastQuorum() {
        return (2 * members.size() - classicQuorum()) / 2 + 1;
    }

    /** Returns the next view, which is the result of applying a change to this view. */
    public View withChange(ViewChange change) {
        List<Member> next = new ArrayList<>();
        for (Member member : members) {
            if (!change.removed().contains(member.id())) {
                next.add(member);
            }
        }
        next.addAll(change.added());
        return new View(id.next(), next);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof View view && id.equals(view.id) && members.equals(view.members);
    }

    @Override
    public int hashCode() {
        return id.hashCode() * 31 + members.hashCode();
    }

    @Override
    public String toString() {
        return id + " " + members.stream().map(Member::id).toList();
    }
}
