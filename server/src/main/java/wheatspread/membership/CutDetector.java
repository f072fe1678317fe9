package wheatspread.membership;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Multi-process cut detection: finds the one change of a view that the observers' reports lead to (L. Suresh and
 * others, "Stable and Consistent Membership at Scale with Rapid", 2018).
 *
 * <p>Each pair of an observer and its subject has a counter that only grows: odd means "down" for a member and
 * "reachable" for a joiner. The larger counter wins, so reports can be taken back and may arrive late, doubled or in
 * any order; members with equal counters find equal changes. A subject is removed, or a joiner admitted, from the high
 * watermark of reports on. One between the low and the high watermark is unstable, and the change waits for it, so
 * that crashes at about the same time become one change on all members. With two observers or more, one report alone
 * never removes or admits anybody.
 */
final class CutDetector {
    private static final int DIGEST_FACTOR = 31;

    private final View view;
    /** By member and observer; odd is "down". */
    private final int[][] reportCounters;
    /** By member and observer; odd is "suspected", which is not reported yet and often never will be. */
    private final int[][] suspicionCounters;

    private final BitSet leavingMembers = new BitSet();
    private final Map<MemberId, Joiner> joiners = new TreeMap<>();
    private final int maxJoiners;
    /** Derived from the above and null after a change of it: most messages bring nothing new. */
    private Summary summary;

    private record Summary(long digest, ViewChange stableChange, ViewChange changeIgnoringUnstable) {}

    /** A server that asks to join, its prospective observers and their counters. */
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

    /** Beyond {@code maxJoiners} further joiners are ignored until the next view. */
    CutDetector(View view, int maxJoiners) {
        this.view = view;
        this.maxJoiners = maxJoiners;
        reportCounters = new int[view.size()][];
        suspicionCounters = new int[view.size()][];
        for (int member = 0; member < reportCounters.length; member++) {
            int observers = view.observersOf(member).length;
            reportCounters[member] = new int[observers];
            suspicionCounters[member] = new int[observers];
        }
    }

    /** Whether a counter says "down", "suspected" or "reachable": it is odd then. */
    static boolean isSet(int counter) {
        return (counter & 1) == 1;
    }

    /** An observer's report on a member; returns whether it was new. */
    boolean onReport(int member, int observerIndex, int counter) {
        return invalidateIf(raise(reportCounters[member], observerIndex, counter));
    }

    /** An observer's suspicion of a member, which leads to no change; returns whether it was new. */
    boolean onSuspicion(int member, int observerIndex, int counter) {
        return raise(suspicionCounters[member], observerIndex, counter);
    }

    /** A member announces that it leaves; returns whether that was new. */
    boolean onLeaving(int member) {
        boolean isNew = !leavingMembers.get(member);
        leavingMembers.set(member);
        return invalidateIf(isNew);
    }

    /**
     * A server asks to join; returns whether that was new. An incarnation that is not later than that of a member or
     * another joiner of its name is ignored.
     */
    boolean onJoining(Member joiner) {
        String name = joiner.id().name();
        Member predecessor = view.memberNamed(name);
        boolean outdated =
                predecessor != null && predecessor.id().start() >= joiner.id().start();
        if (joiners.containsKey(joiner.id()) || joiners.size() >= maxJoiners || outdated) {
            return false;
        }
        for (MemberId other : List.copyOf(joiners.keySet())) {
            if (other.name().equals(name)) {
                if (other.start() > joiner.id().start()) {
                    return false;
                }
                joiners.remove(other);
            }
        }
        int excluded = predecessor == null ? View.NO_MEMBER : view.indexOf(predecessor.id());
        joiners.put(joiner.id(), new Joiner(joiner, view.observersOf(name, excluded)));
        return invalidateIf(true);
    }

    /** A prospective observer's report on a joiner; returns whether it was new. */
    boolean onJoinerReachable(MemberId joiner, int observerIndex, int counter) {
        Joiner known = joiners.get(joiner);
        return known != null && invalidateIf(raise(known.counters, observerIndex, counter));
    }

    private boolean invalidateIf(boolean isNew) {
        if (isNew) {
            summary = null;
        }
        return isNew;
    }

    private static boolean raise(int[] counters, int index, int counter) {
        if (index < 0 || index >= counters.length || counter <= counters[index]) {
            return false;
        }
        counters[index] = counter;
        return true;
    }

    int observerCount(int member) {
        return reportCounters[member].length;
    }

    int reportCounter(int member, int observerIndex) {
        return reportCounters[member][observerIndex];
    }

    int suspicionCounter(int member, int observerIndex) {
        return suspicionCounters[member][observerIndex];
    }

    /** How many observers report a member down. */
    int downReports(int member) {
        return countSet(reportCounters[member]);
    }

    /** How many observers suspect a member, without that one. */
    int otherSuspecters(int member, int observerIndex) {
        int own = suspicionCounters[member][observerIndex] & 1;
        return countSet(suspicionCounters[member]) - own;
    }

    /** The members that announced that they leave, by index; not to be modified. */
    BitSet leavingMembers() {
        return leavingMembers;
    }

    /** The servers that ask to join, in the order of their identities. */
    List<Member> joiners() {
        return joiners.values().stream().map(joiner -> joiner.member).toList();
    }

    /** Whether a server with this identity asks to join. */
    boolean isJoiner(MemberId id) {
        return joiners.containsKey(id);
    }

    /** The members that would observe a joiner; see {@link #isJoiner}. */
    int[] observersOfJoiner(MemberId joiner) {
        return joiners.get(joiner).observers.clone();
    }

    /** An observer's counter on a joiner; see {@link #isJoiner}. */
    int joinerCounter(MemberId joiner, int observerIndex) {
        return joiners.get(joiner).counters[observerIndex];
    }

    /** Equal where the same is known, and very likely different where not. Suspicions do not count. */
    long digest() {
        return summary().digest;
    }

    /**
     * The change that the reports lead to; null while there is none.
     *
     * @param ignoreUnstable whether unstable members stay in the view and unstable joiners outside; else there is no
     *     change while any is unstable
     */
    ViewChange change(boolean ignoreUnstable) {
        return ignoreUnstable ? summary().changeIgnoringUnstable : summary().stableChange;
    }

    /**
     * How many members seem unreachable from here: crashed, or behind a partition. Suspicions count too, since the
     * smaller side of a partition distrusts its own health and is slow to report. It goes through all members.
     */
    int countUnreachable() {
        BitSet unreachable = unstableMembers();
        int counted = 0;
        // most observers of a member behind a partition are there too and report nothing, so each round counts only
        // the observers that are still reachable, until a round finds no further member
        while (unreachable.cardinality() > counted) {
            counted = unreachable.cardinality();
            for (int member = 0; member < view.size(); member++) {
                if (isMissedByHalfOfReachableObservers(member, unreachable)) {
                    unreachable.set(member);
                }
            }
        }
        return counted;
    }

    private boolean isMissedByHalfOfReachableObservers(int member, BitSet unreachable) {
        int reachableObservers = 0;
        for (int observer : view.observersOf(member)) {
            reachableObservers += unreachable.get(observer) ? 0 : 1;
        }
        int missing = 0;
        for (int observer = 0; observer < reportCounters[member].length; observer++) {
            missing += (reportCounters[member][observer] | suspicionCounters[member][observer]) & 1;
        }
        return missing > 0 && 2 * missing >= reachableObservers;
    }

    private Summary summary() {
        if (summary == null) {
            BitSet unstable = unstableMembers();
            summary = new Summary(computeDigest(), computeChange(unstable, false), computeChange(unstable, true));
        }
        return summary;
    }

    private long computeDigest() {
        long digest = Arrays.deepHashCode(reportCounters) * (long) DIGEST_FACTOR + leavingMembers.hashCode();
        for (Joiner joiner : joiners.values()) {
            long joinerHash = joiner.member.hashCode() * (long) DIGEST_FACTOR + Arrays.hashCode(joiner.counters);
            digest = digest * DIGEST_FACTOR + joinerHash;
        }
        return digest;
    }

    private BitSet unstableMembers() {
        BitSet unstable = new BitSet();
        for (int member = 0; member < view.size(); member++) {
            int observers = observerCount(member);
            unstable.set(member, observers > 0 && downReports(member) >= View.lowWatermark(observers));
        }
        return unstable;
    }

    private ViewChange computeChange(BitSet unstable, boolean ignoreUnstable) {
        List<MemberId> out = new ArrayList<>();
        for (int member = 0; member < view.size(); member++) {
            boolean aboveHighWatermark = unstable.get(member)
                    && effectiveReports(member, unstable) >= View.highWatermark(observerCount(member));
            if (leavingMembers.get(member) || aboveHighWatermark) {
                out.add(view.members().get(member).id());
            } else if (unstable.get(member) && !ignoreUnstable) {
                return null;
            }
        }
        List<Member> in = new ArrayList<>();
        for (Joiner joiner : joiners.values()) {
            int reachable = countSet(joiner.counters);
            if (reachable >= View.highWatermark(joiner.counters.length)) {
                in.add(joiner.member);
                removePredecessor(joiner.member, out);
            } else if (reachable >= View.lowWatermark(joiner.counters.length) && !ignoreUnstable) {
                return null;
            }
        }
        ViewChange change = ViewChange.of(out, in);
        return change.isEmpty() ? null : change;
    }

    /** A server that restarted before its observers noticed takes the place of its earlier incarnation. */
    private void removePredecessor(Member joiner, List<MemberId> out) {
        Member predecessor = view.memberNamed(joiner.id().name());
        if (predecessor != null && !out.contains(predecessor.id())) {
            out.add(predecessor.id());
        }
    }

    /**
     * The reports on an unstable member, with those of its observers that are unstable themselves: an observer that
     * crashed together with its subject can't report it (Rapid's implicit alerts).
     */
    private int effectiveReports(int member, BitSet unstable) {
        int reports = downReports(member);
        int[] observers = view.observersOf(member);
        for (int observerIndex = 0; observerIndex < observers.length; observerIndex++) {
            if (!isSet(reportCounters[member][observerIndex]) && unstable.get(observers[observerIndex])) {
                reports++;
            }
        }
        return reports;
    }

    private static int countSet(int[] counters) {
        int set = 0;
        for (int counter : counters) {
            set += counter & 1;
        }
        return set;
    }
}
