package wheatspread.membership;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What the watchers of one view report, and the change that follows from it (L. Suresh and others, "Stable
 * and Consistent Membership at Scale with Rapid", 2018). Each pair of a watcher and its subject has a
 * counter: odd is "down" for a member and "heard" for one that wants to join; the larger counter holds, so a
 * report may be taken back and news may come in any order. One watcher's word moves nothing: somebody goes
 * when the high mark is reached, and while anybody stands between the marks the change waits for it, so that
 * all servers see the same one.
 *
 * <p>It sends nothing and reads no clock.
 */
final class CutDetector {
    private final View view;
    private final int[][] counters;
    /** As the counters, with odd for "suspected": no report yet, and often none in the end. */
    private final int[][] suspicions;

    private final BitSet leavingMembers = new BitSet();
    private final Map<MemberId, Joiner> joiners = new TreeMap<>();
    private final int mostJoiners;
    /** What follows from all this, until something else is heard; most messages bring nothing new. */
    private Summary summary;

    private record Summary(long digest, ViewChange whole, ViewChange hasty) {}

    /** Somebody who wants to become a member, with what those who would watch it say. */
    private static final class Joiner {
        final Member member;
        final int[] observers;
        final int[] counters;

        Joiner(Member member, int[] observers) {
            this.member = member;
            this.observers = observers;
            counters = new int[observers.length];
        }
    }

    /** Beyond {@code mostJoiners} nobody else is heard of until the next view. */
    CutDetector(View view, int mostJoiners) {
        this.view = view;
        this.mostJoiners = mostJoiners;
        counters = new int[view.size()][];
        suspicions = new int[view.size()][];
        for (int i = 0; i < counters.length; i++) {
            counters[i] = new int[view.observersOf(i).length];
            suspicions[i] = new int[counters[i].length];
        }
    }

    /** A watcher's word on a member; returns whether it was news. */
    boolean onReport(int member, int slot, int counter) {
        return changes(raise(counters[member], slot, counter));
    }

    /** A watcher's suspicion of a member, which moves nothing; returns whether it was news. */
    boolean onSuspicion(int member, int slot, int counter) {
        return raise(suspicions[member], slot, counter);
    }

    int suspicionCounter(int member, int slot) {
        return suspicions[member][slot];
    }

    int observerCount(int member) {
        return counters[member].length;
    }

    /** How many watchers other than that one suspect a member. */
    int otherSuspecters(int member, int slot) {
        return odd(suspicions[member]) - (suspicions[member][slot] & 1);
    }

    /** A member goes by itself. */
    boolean onLeaving(int member) {
        boolean news = !leavingMembers.get(member);
        leavingMembers.set(member);
        return changes(news);
    }

    /**
     * Somebody wants to join; returns whether it was news. One of an older start than a member or another
     * joiner of its name is passed over.
     */
    boolean onJoining(Member member) {
        Member old = view.memberNamed(member.id().name());
        if (joiners.containsKey(member.id())
                || joiners.size() >= mostJoiners
                || old != null && old.id().start() >= member.id().start()) {
            return false;
        }
        for (MemberId other : List.copyOf(joiners.keySet())) {
            if (other.name().equals(member.id().name())) {
                if (other.start() > member.id().start()) {
                    return false;
                }
                joiners.remove(other);
            }
        }
        summary = null;
        joiners.put(
                member.id(),
                new Joiner(member, view.observersOf(member.id().name(), old == null ? -1 : view.indexOf(old.id()))));
        return true;
    }

    /** The word on a joiner of one who would watch it. */
    boolean onJoinerReachable(MemberId joiner, int slot, int counter) {
        Joiner of = joiners.get(joiner);
        return of != null && changes(raise(of.counters, slot, counter));
    }

    /** Where something is news, what followed from all before holds no longer. */
    private boolean changes(boolean news) {
        if (news) {
            summary = null;
        }
        return news;
    }

    private static boolean raise(int[] of, int slot, int counter) {
        if (slot < 0 || slot >= of.length || counter <= of[slot]) {
            return false;
        }
        of[slot] = counter;
        return true;
    }

    /** Who said that it goes. */
    BitSet leavingMembers() {
        return leavingMembers;
    }

    /** Who asks to join, in the order of their identities. */
    List<Member> joiners() {
        return joiners.values().stream().map(joiner -> joiner.member).toList();
    }

    /** Equal where the same is known, and very likely different where not. */
    long digest() {
        return summary().digest;
    }

    /**
     * How many members are missed: they may have gone, or be behind a cut. Suspicions count here, since a
     * side that is cut off distrusts itself and is slow to report. It goes through all members.
     */
    int countUnreachable() {
        return countMissed(unstable());
    }

    /**
     * The change that the reports lead to; null while there is none, or while somebody stands between the
     * marks. Who is {@code hasty} has waited for these long enough, and leaves them in.
     */
    ViewChange change(boolean hasty) {
        return hasty ? summary().hasty : summary().whole;
    }

    private Summary summary() {
        if (summary == null) {
            BitSet unstable = unstable();
            summary = new Summary(computeDigest(), computeChange(unstable, false), computeChange(unstable, true));
        }
        return summary;
    }

    private long computeDigest() {
        long digest = Arrays.deepHashCode(counters) * 31L + leavingMembers.hashCode();
        for (Joiner one : joiners.values()) {
            digest = digest * 31 + one.member.hashCode() * 31L + Arrays.hashCode(one.counters);
        }
        return digest;
    }

    int reportCounter(int member, int slot) {
        return counters[member][slot];
    }

    /** Whether somebody with this identity asks to join. */
    boolean isJoiner(MemberId id) {
        return joiners.containsKey(id);
    }

    /** Who would observe a joiner; see {@link #isJoiner}. */
    int[] observersOfJoiner(MemberId joiner) {
        return joiners.get(joiner).observers.clone();
    }

    /** What an observer said last about a joiner: odd is "reachable". */
    int joinerCounter(MemberId joiner, int observerIndex) {
        return joiners.get(joiner).counters[observerIndex];
    }

    /** Whether a counter says "down", "suspected" or "reachable": it is odd then. */
    static boolean isSet(int counter) {
        return (counter & 1) == 1;
    }

    /** How many watchers say that a member is down. */
    int downReports(int member) {
        return odd(counters[member]);
    }

    private static int odd(int[] of) {
        int odd = 0;
        for (int one : of) {
            odd += one & 1;
        }
        return odd;
    }

    /**
     * How many watchers count against a member: those that say so, and of a member that is unstable also
     * those who are unstable themselves, since who is gone can't report whom it watched.
     */
    private int against(int member, BitSet unstable) {
        int against = downReports(member);
        if (unstable.get(member)) {
            int[] watchers = view.observersOf(member);
            for (int slot = 0; slot < watchers.length; slot++) {
                if ((counters[member][slot] & 1) == 0 && unstable.get(watchers[slot])) {
                    against++;
                }
            }
        }
        return against;
    }

    /**
     * Who is missed by half of the watchers that are not missed themselves is missed too: beside a cut most
     * watchers of those behind it are there as well and say nothing.
     */
    private int countMissed(BitSet unstable) {
        BitSet missed = (BitSet) unstable.clone();
        int before = 0;
        while (missed.cardinality() > before) {
            before = missed.cardinality();
            for (int i = 0; i < view.size(); i++) {
                int[] watchers = view.observersOf(i);
                int here = 0;
                for (int watcher : watchers) {
                    here += missed.get(watcher) ? 0 : 1;
                }
                int against = 0;
                for (int slot = 0; slot < watchers.length; slot++) {
                    against += (counters[i][slot] | suspicions[i][slot]) & 1;
                }
                missed.set(i, missed.get(i) || against > 0 && 2 * against >= here);
            }
        }
        return before;
    }

    private BitSet unstable() {
        BitSet unstable = new BitSet();
        for (int i = 0; i < view.size(); i++) {
            unstable.set(i, counters[i].length > 0 && downReports(i) >= View.lowWatermark(counters[i].length));
        }
        return unstable;
    }

    private ViewChange computeChange(BitSet unstable, boolean hasty) {
        List<MemberId> out = new ArrayList<>();
        for (int i = 0; i < view.size(); i++) {
            boolean gone = leavingMembers.get(i)
                    || unstable.get(i) && against(i, unstable) >= View.highWatermark(counters[i].length);
            if (gone) {
                out.add(view.members().get(i).id());
            } else if (unstable.get(i) && !hasty) {
                return null;
            }
        }
        List<Member> in = new ArrayList<>();
        for (Joiner one : joiners.values()) {
            int heard = odd(one.counters);
            if (heard >= View.highWatermark(one.counters.length)) {
                in.add(one.member);
                Member old = view.memberNamed(one.member.id().name());
                if (old != null && !out.contains(old.id())) {
                    out.add(old.id()); // it was restarted before anybody noticed
                }
            } else if (heard >= View.lowWatermark(one.counters.length) && !hasty) {
                return null;
            }
        }
        ViewChange change = ViewChange.of(out, in);
        return change.isEmpty() ? null : change;
    }
}
