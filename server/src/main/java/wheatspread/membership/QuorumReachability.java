package wheatspread.membership;

import java.util.Arrays;
import java.util.BitSet;

/**
 * Estimates whether a quorum of one member's view is reachable. Members on the smaller side of a partition keep their
 * view, and use this estimate to treat that view as outdated. A quorum counts as unreachable if any of three conditions
 * holds, since none of them detects every case:
 *
 * <ul>
 * <li>The members that observers on this side of a partition neither report nor suspect are fewer than a quorum. This
 *     is exact on a side with a third of the fleet or more; a smaller side has too few observers.
 * <li>Messages arrived recently from less than half of this member's observers and subjects. This is a sample, which
 *     works on a small side and on a member that was suspended.
 * <li>An agreement has been in progress for longer than {@link #AGREEMENT_LIMIT_MICROS} without a decision.
 * </ul>
 *
 * <p>The estimate may be wrong for short times in either direction. A decision that two sides of a partition must not
 * make differently must not depend on this estimate: such a decision requires an agreed view.
 */
final class QuorumReachability {
    /** A member without a message for this time, about four probe periods, counts as silent. */
    static final long SILENCE_LIMIT_MICROS = 4_000_000;
    /** An agreement that takes longer counts as blocked; an undisturbed agreement ends within 2 s. */
    static final long AGREEMENT_LIMIT_MICROS = 6_000_000;

    private static final long MICROS_PER_MILLI = 1_000;

    /** The indexes of this member's observers and subjects, in ascending order. */
    private final int[] neighbours;
    /** The time of the last message from each neighbour, by position in {@link #neighbours}. */
    private final long[] lastMessageMicros;

    private final int quorum;
    private final int viewSize;
    private long agreementSinceMicros = Long.MAX_VALUE;
    private int unreachableMembers;

    /** Creates the state for a new view. A quorum has just agreed on it, so no member counts as silent at first. */
    QuorumReachability(View view, int ownIndex, long nowMicros) {
        viewSize = view.size();
        quorum = view.classicQuorum();
        neighbours = neighboursOf(view, ownIndex);
        lastMessageMicros = new long[neighbours.length];
        Arrays.fill(lastMessageMicros, nowMicros);
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

    /** Records a message from the member with this index. */
    void onMessageFrom(int member, long nowMicros) {
        int position = Arrays.binarySearch(neighbours, member);
        if (position >= 0) {
            lastMessageMicros[position] = nowMicros;
        }
    }

    /** Sets the number of members that appear to be unreachable; see {@link CutDetector#countUnreachable}. */
    void updateUnreachable(int memberCount) {
        unreachableMembers = memberCount;
    }

    /** Records whether an agreement on the next view is in progress. */
    void updateAgreement(boolean inProgress, long nowMicros) {
        agreementSinceMicros = inProgress ? Math.min(agreementSinceMicros, nowMicros) : Long.MAX_VALUE;
    }

    boolean isReachable(long nowMicros) {
        return unreachableReason(nowMicros) == null;
    }

    /** Returns, for operators, why no quorum appears to be reachable; null if a quorum is reachable. */
    String unreachableReason(long nowMicros) {
        if (viewSize - unreachableMembers < quorum) {
            return unreachableMembers + " of " + viewSize + " members appear unreachable, quorum is " + quorum;
        }
        boolean agreementInProgress = agreementSinceMicros != Long.MAX_VALUE;
        if (agreementInProgress && nowMicros - agreementSinceMicros > AGREEMENT_LIMIT_MICROS) {
            long millis = (nowMicros - agreementSinceMicros) / MICROS_PER_MILLI;
            return "agreement on the next view undecided for " + millis + " ms";
        }
        int silentNeighbours = 0;
        for (long messageMicros : lastMessageMicros) {
            silentNeighbours += nowMicros - messageMicros > SILENCE_LIMIT_MICROS ? 1 : 0;
        }
        if (2 * silentNeighbours > neighbours.length) {
            return "no message from " + silentNeighbours + " of " + neighbours.length + " observers and subjects for "
                    + SILENCE_LIMIT_MICROS / MICROS_PER_MILLI + " ms";
        }
        return null;
    }
}
