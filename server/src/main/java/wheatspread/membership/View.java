package wheatspread.membership;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A numbered list of members, the same on every server that holds this number. Members are in the order of their
 * names; a member's place in it is its index, by which votes and reports name it. Immutable.
 */
public final class View {
    /** Observers of each member; all others where they are fewer. */
    public static final int OBSERVERS_PER_SUBJECT = 10;
    /** The index that no member has. */
    static final int NO_MEMBER = -1;
    /** Share of a member's observers from whose reports on it is unstable (Rapid's L). */
    private static final double LOW_WATERMARK_SHARE = 0.3;
    /** Share of a member's observers from whose reports on it is removed (Rapid's H). */
    private static final double HIGH_WATERMARK_SHARE = 0.8;
    /** A single observer's report is not enough where there are more. */
    private static final int MIN_HIGH_WATERMARK = 2;

    private final ViewId id;
    private final List<Member> members;
    /** By member, the hash of its name. */
    private final long[] nameHashes;
    /** By member, the indexes of its observers. */
    private final int[][] observers;

    /**
     * A view of these members, in whatever order they are given.
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

    /** All members, in the order of their indexes. */
    public List<Member> members() {
        return members;
    }

    public int size() {
        return members.size();
    }

    /** The index of a member, or -1 where it is none. */
    public int indexOf(MemberId member) {
        int from = 0;
        int to = members.size() - 1;
        while (from <= to) {
            int middle = (from + to) >>> 1;
            int order = members.get(middle).id().compareTo(member);
            if (order == 0) {
                return middle;
            }
            from = order < 0 ? middle + 1 : from;
            to = order < 0 ? to : middle - 1;
        }
        return NO_MEMBER;
    }

    /** The member with a name, of whatever incarnation; null where there is none. */
    public Member memberNamed(String name) {
        return members.stream()
                .filter(member -> member.id().name().equals(name))
                .findFirst()
                .orElse(null);
    }

    /** The indexes of the observers of a member. */
    public int[] observersOf(int member) {
        return observers[member].clone();
    }

    /**
     * The observers of a member or joiner of that name: the members with the highest scores for it (rendezvous
     * hashing). So each observes about as many as observe it, sets of observers differ, and few pairs change where
     * one member comes or goes.
     *
     * @param excluded the index of a member that is left out, -1 for none
     */
    public int[] observersOf(String name, int excluded) {
        int count = Math.min(OBSERVERS_PER_SUBJECT, members.size() - (excluded < 0 ? 0 : 1));
        long subjectHash = hash(name);
        int[] best = new int[count];
        long[] scores = new long[count];
        int found = 0;
        for (int candidate = 0; candidate < members.size(); candidate++) {
            if (candidate == excluded) {
                continue;
            }
            long score = combine(subjectHash, nameHashes[candidate]);
            int rank = found;
            while (rank > 0 && scores[rank - 1] < score) {
                rank--;
            }
            if (rank < count) {
                int shifted = Math.min(found, count - 1) - rank;
                System.arraycopy(scores, rank, scores, rank + 1, shifted);
                System.arraycopy(best, rank, best, rank + 1, shifted);
                scores[rank] = score;
                best[rank] = candidate;
                found = Math.min(count, found + 1);
            }
        }
        return best;
    }

    private static long hash(String name) {
        return Hashing.komihash5_0().hashCharsToLong(name);
    }

    /** Mixes two hashes in a few operations, since a large fleet has millions of pairs. */
    private static long combine(long first, long second) {
        long mixed = first + Long.rotateLeft(second, 32) * 0x9e3779b97f4a7c15L;
        mixed = (mixed ^ mixed >>> 32) * 0xd6e8feb86659fd93L;
        mixed = (mixed ^ mixed >>> 32) * 0xd6e8feb86659fd93L;
        return mixed ^ mixed >>> 32;
    }

    /** Reports from which on a subject with so many observers is unstable. */
    public static int lowWatermark(int observerCount) {
        return Math.max(1, (int) Math.ceil(LOW_WATERMARK_SHARE * observerCount));
    }

    /** Reports from which on a subject with so many observers is removed; never one where there are two or more. */
    public static int highWatermark(int observerCount) {
        int byShare = (int) Math.ceil(HIGH_WATERMARK_SHARE * observerCount);
        return Math.max(Math.min(MIN_HIGH_WATERMARK, observerCount), byShare);
    }

    /** Members that are a quorum of a classic round: any two of them meet. */
    public int classicQuorum() {
        return members.size() / 2 + 1;
    }

    /**
     * Equal votes that decide the fast round: the fewest so that any two fast quorums meet in every classic one
     * (L. Lamport, "Fast Paxos", 2006: the fast quorum requirement).
     */
    public int fastQuorum() {
        return (2 * members.size() - classicQuorum()) / 2 + 1;
    }

    /** The next view, which a change leads to. */
    public View withChange(ViewChange change) {
        List<Member> next = new ArrayList<>();
        for (Member member : members) {
            if (!change.out().contains(member.id())) {
                next.add(member);
            }
        }
        next.addAll(change.in());
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
