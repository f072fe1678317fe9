package wheatspread.membership;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Multi-process cut detection: derives one view change from the observers' reports (L. Suresh and others, "Stable and
 * Consistent Membership at Scale with Rapid", 2018).
 *
 * <p>Each pair of an observer and its subject has a counter that only grows: an odd value means "down" for a member and
 * "reachable" for a joiner. The larger counter takes precedence, so reports can be withdrawn and may arrive late,
 * duplicated or in any order; members with equal counters find equal changes. A member is removed, or a joiner
 * admitted, if the number of reports reaches the high watermark. A subject between the low and the high watermark is
 * unstable, and the change waits until the subject is stable, so that crashes at about the same time become one change
 * on all members. With two observers or more, a single report never removes a member or admits a joiner.
 */
final class CutDetector {
    private static final int DIGEST_FACTOR = 31;

    private final View view;
    /** The report counters by member and observer; an odd value means "down". */
    private final int[][] reportCounters;
    /**
     * The suspicion counters by member and observer; an odd value means "suspected", which need not become a report.
     */
    private final int[][] suspicionCounters;

    private final BitSet leavingMembers = new BitSet();
    private final Map<MemberId, Joiner> joiners = new TreeMap<>();
    private final int maxJoiners;
    /**
     * Cached result derived from the fields above; null after one of these fields changed. Most messages change none of
     * them.
     */
    private Summary summary;

    private record Summary(long digest, ViewChange stableChange, ViewChange changeIgnoringUnstable) {}

    /** A server that requests to join, its prospective observers and their counters. */
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

    /** Creates a detector without reports; joiners beyond {@code maxJoiners} are ignored until the next view. */
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

    /** Returns whether a counter is odd, which means "down", "suspected" or "reachable". */
    static boolean isSet(int counter) {
        return (counter & 1) == 1;
    }

    /** Records an observer's report on a member; returns whether it was new. */
    boolean onReport(int member, int observerIndex, int counter) {
        return invalidateIf(raise(reportCounters[member], observerIndex, counter));
    }

    /** Records an observer's suspicion of a member, which changes no view; returns whether it was new. */
    boolean onSuspicion(int member, int observerIndex, int counter) {
        return raise(suspicionCounters[member], observerIndex, counter);
    }

    /** Records that a member announced that it leaves; returns whether this was new. */
    boolean onLeaving(int member) {
        boolean isNew = !leavingMembers.get(member);
        leavingMembers.set(member);
        return invalidateIf(isNew);
    }

    /**
     * Records a join request; returns whether it was new. The request is ignored if a member or another joiner with the
     * same name has an equal or later incarnation.
     */
    boolean onJoining(Member joiner) {
        String name = joiner.id().name();
        Member predecessor = view.memberNamed(name);
        boolean isOutdated = predecessor != null
                && predecessor.id().incarnation() >= joiner.id().incarnation();
        if (joiners.containsKey(joiner.id()) || joiners.size() >= maxJoiners || isOutdated) {
            return false;
        }
        for (MemberId known : List.copyOf(joiners.keySet())) {
            if (known.name().equals(name)) {
                if (known.incarnation() > joiner.id().incarnation()) {
                    return false;
                }
                joiners.remove(known);
            }
        }
        int excluded = predecessor == null ? View.NO_MEMBER : view.indexOf(predecessor.id());
        joiners.put(joiner.id(), new Joiner(joiner, view.observersOf(name, excluded)));
        return invalidateIf(true);
    }

    /** Records a prospective observer's report on a joiner; returns whether it was new. */
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

    /** Returns the number of observers that report a member down. */
    int downReports(int member) {
        return countSet(reportCounters[member]);
    }

    /** Returns the number of observers that suspect a member, not counting the given observer. */
    int otherSuspecters(int member, int observerIndex) {
        int own = suspicionCounters[member][observerIndex] & 1;
        return countSet(suspicionCounters[member]) - own;
    }

    /** Returns the indexes of the members that announced that they leave; must not be modified. */
    BitSet leavingMembers() {
        return leavingMembers;
    }

    /** Returns the servers that request to join, in the order of their identities. */
    List<Member> joiners() {
        return joiners.values().stream().map(joiner -> joiner.member).toList();
    }

    /** Returns whether a server with this identity requests to join. */
    boolean isJoiner(MemberId id) {
        return joiners.containsKey(id);
    }

    /** Returns the indexes of a joiner's prospective observers; valid only if {@link #isJoiner}. */
    int[] observersOfJoiner(MemberId joiner) {
        return joiners.get(joiner).observers.clone();
    }

    /** Returns an observer's counter on a joiner; valid only if {@link #isJoiner}. */
    int joinerCounter(MemberId joiner, int observerIndex) {
        return joiners.get(joiner).counters[observerIndex];
    }

    /**
     * Returns a digest of the reports, leaving members and joiners, but not of suspicions. Detectors with different
     * knowledge very likely have different digests.
     */
    long digest() {
        return summary().digest;
    }

    /**
     * Returns the change derived from the reports; null while there is none.
     *
     * @param ignoreUnstable if true, unstable members stay in the view and unstable joiners outside of it; if false,
     *     there is no change while any member or joiner is unstable
     */
    ViewChange change(boolean ignoreUnstable) {
        return ignoreUnstable ? summary().changeIgnoringUnstable : summary().stableChange;
    }

    /**
     * Counts the members that appear to be unreachable from this server, because they crashed or are behind a
     * partition. Suspicions count like reports, since members on the smaller side of a partition have a poor local
     * health score and are slow to report. This method visits all members.
     */
    int countUnreachable() {
        BitSet unreachable = unstableMembers();
        int counted = 0;
        // most observers of a member behind a partition are behind it too, and their reports do not arrive, so each
        // round considers only the observers that are still reachable, until a round finds no further member
        while (unreachable.cardinality() > counted) {
            counted = unreachable.cardinality();
            for (int member = 0; member < view.size(); member++) {
                if (isReportedByHalfOfReachableObservers(member, unreachable)) {
                    unreachable.set(member);
                }
            }
        }
        return counted;
    }

    private boolean isReportedByHalfOfReachableObservers(int member, BitSet unreachable) {
        int reachableObservers = 0;
        for (int observer : view.observersOf(member)) {
            reachableObservers += unreachable.get(observer) ? 0 : 1;
        }
        int reportingObservers = 0;
        for (int observer = 0; observer < reportCounters[member].length; observer++) {
            reportingObservers += (reportCounters[member][observer] | suspicionCounters[member][observer]) & 1;
        }
        return reportingObservers > 0 && 2 * reportingObservers >= reachableObservers;
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
        List<MemberId> removed = new ArrayList<>();
        for (int member = 0; member < view.size(); member++) {
            boolean reachesHighWatermark = unstable.get(member)
                    && effectiveReports(member, unstable) >= View.highWatermark(observerCount(member));
            if (leavingMembers.get(member) || reachesHighWatermark) {
                removed.add(view.members().get(member).id());
            } else if (unstable.get(member) && !ignoreUnstable) {
                return null;
            }
        }
        List<Member> added = new ArrayList<>();
        for (Joiner joiner : joiners.values()) {
            int reachable = countSet(joiner.counters);
            if (reachable >= View.highWatermark(joiner.counters.length)) {
                added.add(joiner.member);
                removePredecessor(joiner.member, removed);
            } else if (reachable >= View.lowWatermark(joiner.counters.length) && !ignoreUnstable) {
                return null;
            }
        }
        ViewChange change = ViewChange.of(removed, added);
        return change.isEmpty() ? null : change;
    }

    /** Removes the earlier incarnation of a joiner, which is still in the view if no observer reported it down. */
    private void removePredecessor(Member joiner, List<MemberId> removed) {
        Member predecessor = view.memberNamed(joiner.id().name());
        if (predecessor != null && !removed.contains(predecessor.id())) {
            removed.add(predecessor.id());
        }
    }

    /**
     * Counts the reports on an unstable member, plus one for each observer of the member that is unstable itself and
     * has not reported: an observer that crashed together with its subject cannot report the subject (Rapid's implicit
     * alerts).
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
        int count = 0;
        for (int counter : counters) {
            count += counter & 1;
        }
        return count;
    }
}
