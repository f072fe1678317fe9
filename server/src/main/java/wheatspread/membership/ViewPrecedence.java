package wheatspread.membership;

/**
 * Which of two views a member goes by. In one epoch the higher number holds: a quorum agreed on it. Between
 * epochs, that is between fleets, numbers say nothing; a fleet that has lost its quorum gives way to one
 * that has it, and of two that have it the later founded to the earlier.
 */
final class ViewPrecedence {
    private ViewPrecedence() {}

    /**
     * Whether a view that is told of goes before the one that is held.
     *
     * @param stands whether it stands where it was told of
     * @param mine the view held, {@link ViewId#NONE} for none
     * @param mineStands whether that one stands here; for one who is not in it, whether it was heard of late
     *     that it does
     */
    static boolean takesPrecedence(ViewId theirs, boolean stands, ViewId mine, boolean mineStands) {
        if (theirs.epoch() == mine.epoch()) {
            return theirs.number() > mine.number();
        }
        return stands && theirs.epoch() > 0 && (!mineStands || theirs.epoch() < mine.epoch());
    }
}
