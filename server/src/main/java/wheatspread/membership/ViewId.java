package wheatspread.membership;

/**
 * The number of a view, which is never used twice. A cluster that is formed anew, because no quorum was left, counts
 * from 1 again in a later epoch.
 *
 * @param epoch when the cluster was formed ({@link ClusterBootstrap}), which grows with time; 0 for no view at all
 * @param number from 1, one more with each view of the epoch
 */
public record ViewId(long epoch, long number) implements Comparable<ViewId> {
    /** The number of a member that holds no view. */
    public static final ViewId NONE = new ViewId(0, 0);

    /** The number of the next view in the same epoch. */
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
