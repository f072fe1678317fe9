package wheatspread.membership;

/**
 * Which of two views a member follows. In one epoch the higher number wins, since a quorum agreed on it. Between
 * epochs, and so between clusters, numbers mean nothing: a cluster without a reachable quorum yields to one that has
 * it, and of two that have it the later formed to the earlier. Never do two members each follow the other's view.
 */
final class ViewPrecedence {
    private ViewPrecedence() {}

    /**
     * Whether another member's view takes precedence over the one held here.
     *
     * @param other the other member's view
     * @param otherReachable whether its quorum is reachable there
     * @param own the view held here, {@link ViewId#NONE} for none
     * @param ownReachable whether its quorum is reachable here; where this server is not in it, whether a member of it
     *     said so lately
     */
    static boolean takesPrecedence(ViewId other, boolean otherReachable, ViewId own, boolean ownReachable) {
        if (other.epoch() == own.epoch()) {
            return other.number() > own.number();
        }
        boolean earlierOrOwnLost = !ownReachable || other.epoch() < own.epoch();
        return otherReachable && other.epoch() > 0 && earlierOrOwnLost;
    }
}
