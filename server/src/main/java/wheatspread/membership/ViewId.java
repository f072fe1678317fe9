package wheatspread.membership;

/**
 * The number of a view, which is never used twice. A cluster that is formed again after the quorum was lost numbers its
 * views from 1 in a later epoch.
 *
 * @param epoch a number derived from the time at which the cluster was formed ({@link ClusterBootstrap}), so that later
 *     clusters have larger epochs; 0 if there is no view
 * @param number the sequence number of the view within the epoch, from 1
 */
public record ViewId(long epoch, long number) implements Comparable<ViewId> {
    /** The number that a member without a view uses. */
    public static final ViewId NONE = new ViewId(0, 0);

    /** Returns the number of the next view in the same epoch. */
    public ViewId next() {
        return new ViewId(epoch, number + 1);
    }

    @Override
    public int compareTo(ViewId other) {
        int byEpoch = Long.compare(epoch, other.epoch);
        return byEpoch != 0 ? byEpoch : Long.compare(number, other.number);
    }

    @Override
    public String toString() {
        return epoch + "." + number;
    }
}
