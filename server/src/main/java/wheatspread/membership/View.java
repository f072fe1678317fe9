package wheatspread.membership;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A numbered list of members, the same on every server that has this number. Members stand in the order of
 * their names; their place in it is their index, which votes and reports go by.
 */
public final class View {
    /** Each member is watched by so many others, or by all others where they are fewer. */
    public static final int OBSERVERS_PER_SUBJECT = 10;
    /** A member is unstable from this share of its watchers on that report it, */
    private static final double LOW = 0.3;
    /** and goes from this share on. */
    private static final double HIGH = 0.8;

    private final ViewId id;
    private final List<Member> members;
    /** By member, the hash of its name. */
    private final long[] hashes;
    /** By member, the indexes of those who watch it. */
    private final int[][] watchers;

    public View(ViewId id, List<Member> members) {
        this.id = id;
        List<Member> sorted = new ArrayList<>(members);
        sorted.sort(Comparator.comparing(Member::id));
        this.members = List.copyOf(sorted);
        Set<String> names = new HashSet<>();
        for (Member one : sorted) {
            if (!names.add(one.id().name())) {
                throw new IllegalArgumentException(
                        "two members have the name " + one.id().name());
            }
        }
        hashes = sorted.stream().mapToLong(one -> hash(one.id().name())).toArray();
        watchers = new int[sorted.size()][];
        for (int i = 0; i < watchers.length; i++) {
            watchers[i] = observersOf(sorted.get(i).id().name(), i);
        }
    }

    public ViewId id() {
        return id;
    }

    public List<Member> members() {
        return members;
    }

    public int size() {
        return members.size();
    }

    /** The index of a member, or -1. */
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
        return -1;
    }

    /** The member of a name, whatever its start; null where there is none. */
    public Member memberNamed(String name) {
        return members.stream()
                .filter(one -> one.id().name().equals(name))
                .findFirst()
                .orElse(null);
    }

    /** Who watches the member of that index. */
    public int[] observersOf(int member) {
        return watchers[member].clone();
    }

    /**
     * Who watches somebody of that name, a member or one that wants to become one: the members that score
     * highest for it (rendezvous hashing), so that each watches about as many as watch it, no two are
     * watched by the same ones, and few pairs change where one comes or goes. {@code self} is left out; -1
     * for nobody.
     */
    public int[] observersOf(String name, int self) {
        int most = Math.min(OBSERVERS_PER_SUBJECT, members.size() - (self < 0 ? 0 : 1));
        long seed = hash(name);
        int[] best = new int[most];
        long[] scores = new long[most];
        int found = 0;
        for (int i = 0; i < members.size(); i++) {
            if (i == self) {
                continue;
            }
            long score = mixed(seed, hashes[i]);
            int at = found;
            while (at > 0 && scores[at - 1] < score) {
                at--;
            }
            if (at < most) {
                int shift = Math.min(found, most - 1);
                System.arraycopy(scores, at, scores, at + 1, shift - at);
                System.arraycopy(best, at, best, at + 1, shift - at);
                scores[at] = score;
                best[at] = i;
                found = Math.min(most, found + 1);
            }
        }
        return best;
    }

    private static long hash(String name) {
        return Hashing.komihash5_0().hashCharsToLong(name);
    }

    /** Two hashes as one, in a few operations: a large fleet has millions of pairs. */
    private static long mixed(long a, long b) {
        long mixed = a + Long.rotateLeft(b, 32) * 0x9e3779b97f4a7c15L;
        mixed = (mixed ^ mixed >>> 32) * 0xd6e8feb86659fd93L;
        mixed = (mixed ^ mixed >>> 32) * 0xd6e8feb86659fd93L;
        return mixed ^ mixed >>> 32;
    }

    /** So many of {@code of} watchers make somebody unstable. */
    public static int lowWatermark(int of) {
        return Math.max(1, (int) Math.ceil(LOW * of));
    }

    /** So many of {@code of} watchers suffice; never a single one where there are two or more. */
    public static int highWatermark(int of) {
        return Math.max(Math.min(2, of), (int) Math.ceil(HIGH * of));
    }

    /** So many members are a quorum of a round that a coordinator leads. */
    public int classicQuorum() {
        return members.size() / 2 + 1;
    }

    /**
     * So many equal votes end the round without a coordinator: the fewest of which any two groups meet in
     * every {@link #classicQuorum} (L. Lamport, "Fast Paxos", 2006).
     */
    public int fastQuorum() {
        return (2 * members.size() - classicQuorum()) / 2 + 1;
    }

    /** The view that a change leads to. */
    public View withChange(ViewChange change) {
        List<Member> next = new ArrayList<>();
        for (Member one : members) {
            if (!change.out().contains(one.id())) {
                next.add(one);
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
