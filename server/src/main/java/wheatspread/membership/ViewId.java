package wheatspread.membership;

/**
 * The number of a view. A fleet that was formed anew, since none was left that could agree, counts from 1
 * again in a later epoch, so that no number is ever used twice.
 *
 * @param epoch the founding of the fleet ({@link Founding}), which grows with time; 0 for no view at all
 * @param number from 1, one more with each view
 */
public record ViewId(long epoch, long number) implements Comparable<ViewId> {
    public static final ViewId NONE = new ViewId(0, 0);

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
