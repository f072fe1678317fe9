package wheatspread.membership;

import java.util.Arrays;
import java.util.BitSet;

/**
 * Judges whether a quorum of one member's view seems to be reachable. The smaller side of a partition keeps its view
 * and treats it as outdated by this judgement. Any of three signs means that no quorum is reachable, since each is
 * blind somewhere:
 *
 * <ul>
 * <li>fewer than a quorum are left without the members that observers on this side miss: exact on a side with a third
 *     of the fleet or more, blind on a small one, which has too few observers;
 * <li>less than half of this member's observers and subjects were heard of late: a sample, which is good on a small
 *     side and on a member that was suspended itself;
 * <li>an agreement has been in progress for long without a decision.
 * </ul>
 *
 * <p>It may be wrong for moments in either direction, so nothing may rest on it that two sides must not decide
 * differently: that takes a view.
 */
final class QuorumReachability {
    /** A member that was silent for this time, some four probe periods, counts as not heard. */
    static final long SILENCE_LIMIT_MICROS = 4_000_000;
    /** An agreement that takes longer is stuck; a usual one ends within 2 s. */
    static final long AGREEMENT_LIMIT_MICROS = 6_000_000;

    private static final long MICROS_PER_MILLI = 1_000;

    /** This member's observers and subjects by index, in order. */
    private final int[] neighbours;
    /** By position in {@link #neighbours}. */
    private final long[] lastHeardMicros;

    private final int quorum;
    private final int viewSize;
    private long agreementSinceMicros = Long.MAX_VALUE;
    private int unreachableMembers;

    /** A quorum agreed on the view as it began, so all count as heard then. */
    QuorumReachability(View view, int ownIndex, long nowMicros) {
        viewSize = view.size();
        quorum = view.classicQuorum();
        neighbours = neighboursOf(view, ownIndex);
        lastHeardMicros = new long[neighbours.length];
        Arrays.fill(lastHeardMicros, nowMicros);
    }

    private static int[] neighboursOf(View view, int ownIndex) {
        BitSet neighbours = new BitSet();
        for (int observer : view.observersOf(ownIndex)) {
            neighbours.set(observer);
        }
        for (int member = 0; member < view.size(); member++) {
            for (int observer : view.observersOf(member)) {
                if (observer == ownIndex) {
                    neighbours.set(member);
                }
            }
        }
        return neighbours.stream().toArray();
    }

    /** A message came from the member of that index. */
    void onMessageFrom(int member, long nowMicros) {
        int position = Arrays.binarySearch(neighbours, member);
        if (position >= 0) {
            lastHeardMicros[position] = nowMicros;
        }
    }

    /** So many members are missed by the observers that are heard here. */
    void updateUnreachable(int members) {
        unreachableMembers = members;
    }

    /** Whether an agreement on the next view is in progress. */
    void updateAgreement(boolean inProgress, long nowMicros) {
        agreementSinceMicros = inProgress ? Math.min(agreementSinceMicros, nowMicros) : Long.MAX_VALUE;
    }

    boolean isReachable(long nowMicros) {
        return unreachableReason(nowMicros) == null;
    }

    /** Why no quorum seems reachable, for operators; null where one does. */
    String unreachableReason(long nowMicros) {
        if (viewSize - unreachableMembers < quorum) {
            return unreachableMembers + " of " + viewSize + " are missed";
        }
        boolean agreementInProgress = agreementSinceMicros != Long.MAX_VALUE;
        if (agreementInProgress && nowMicros - agreementSinceMicros > AGREEMENT_LIMIT_MICROS) {
            long millis = (nowMicros - agreementSinceMicros) / MICROS_PER_MILLI;
            return "an agreement does not end for " + millis + " ms";
        }
        int silent = 0;
        for (long heardMicros : lastHeardMicros) {
            silent += nowMicros - heardMicros > SILENCE_LIMIT_MICROS ? 1 : 0;
        }
        if (2 * silent > neighbours.length) {
            return silent + " of " + neighbours.length + " others watched or watching are not heard";
        }
        return null;
    }
}
