package wheatspread.membership;

import java.util.Arrays;
import java.util.BitSet;

/**
 * Whether one member's view still stands: whether it may be thought that a quorum of its members hears each
 * other. A side that is cut off keeps its view, and marks it as old. Three signs, of which one is enough,
 * since each is blind somewhere:
 *
 * <ul>
 * <li>fewer than a quorum are left when those count out whom the watchers on this side miss: exact on a side
 *     with a third of the fleet or more, blind on a small one, where too few watchers are;
 * <li>less than half of those whom this member watches or is watched by were heard of late: a sample, good
 *     on a small side, and on a member that was stopped itself;
 * <li>an agreement was under way for long and came to no end.
 * </ul>
 *
 * <p>It may be wrong for moments in either direction, so nothing is decided by it that two sides must not
 * decide differently: such things take a view. It reads no clock; times are microseconds.
 */
final class QuorumReachability {
    /** Who was not heard for so long is not counted: some four probes. */
    static final long SILENCE_LIMIT_MICROS = 4_000_000;
    /** An agreement usually ends within 2 s. */
    static final long AGREEMENT_LIMIT_MICROS = 6_000_000;

    private final int[] sample;
    private final long[] onMessageFrom;
    private final int quorum;
    private final int size;
    private long underWaySince = Long.MAX_VALUE;
    private int updateUnreachable;

    /** A view begins at {@code now}; its beginning was agreed by a quorum, so all count as heard then. */
    QuorumReachability(View view, int index, long now) {
        size = view.size();
        quorum = view.classicQuorum();
        BitSet near = new BitSet();
        for (int watcher : view.observersOf(index)) {
            near.set(watcher);
        }
        for (int member = 0; member < size; member++) {
            for (int watcher : view.observersOf(member)) {
                if (watcher == index) {
                    near.set(member);
                }
            }
        }
        sample = near.stream().toArray();
        onMessageFrom = new long[sample.length];
        Arrays.fill(onMessageFrom, now);
    }

    /** The member of that index was heard. */
    void onMessageFrom(int member, long now) {
        int at = Arrays.binarySearch(sample, member);
        if (at >= 0) {
            onMessageFrom[at] = now;
        }
    }

    /** So many members are missed by the watchers that are heard here. */
    void updateUnreachable(int members) {
        updateUnreachable = members;
    }

    /** Whether an agreement is under way. */
    void updateAgreement(boolean underWay, long now) {
        underWaySince = !underWay ? Long.MAX_VALUE : Math.min(underWaySince, now);
    }

    boolean isReachable(long now) {
        return unreachableReason(now) == null;
    }

    /** Why the view does not stand, for operators; null where it does. */
    String unreachableReason(long now) {
        if (size - updateUnreachable < quorum) {
            return updateUnreachable + " of " + size + " are missed";
        }
        if (underWaySince != Long.MAX_VALUE && now - underWaySince > AGREEMENT_LIMIT_MICROS) {
            return "an agreement does not end for " + (now - underWaySince) / 1_000 + " ms";
        }
        int late = 0;
        for (long one : onMessageFrom) {
            late += now - one > SILENCE_LIMIT_MICROS ? 1 : 0;
        }
        return 2 * late <= sample.length
                ? null
                : late + " of " + sample.length + " others watched or watching are not heard";
    }
}
