package wheatspread.membership;

/**
 * Decides which of two views a member follows. Within an epoch the higher number takes precedence, since a quorum
 * agreed on it. Between epochs, and so between clusters, view numbers are not comparable: a cluster without a reachable
 * quorum yields to a cluster with a reachable quorum, and of two clusters with reachable quorums the one formed later
 * yields to the one formed earlier. Two members never each follow the other's view.
 */
final class ViewPrecedence {
    private ViewPrecedence() {}

    /**
     * Returns whether another member's view takes precedence over this member's view.
     *
     * @param other the other member's view
     * @param otherReachable whether the other member reaches a quorum of that view
     * @param own this member's view; {@link ViewId#NONE} for none
     * @param ownReachable whether this member reaches a quorum of its view; if it is not in that view, whether a member
     *     of the view recently reported a reachable quorum
     */
    static boolean takesPrecedence(ViewId other, boolean otherReachable, ViewId own, boolean ownReachable) {
        if (other.epoch() == own.epoch()) {
            return other.number() > own.number();
        }
        boolean earlierOrOwnLost = !ownReachable || other.epoch() < own.epoch();
        return otherReachable && other.epoch() > 0 && earlierOrOwnLost;
    }
}
