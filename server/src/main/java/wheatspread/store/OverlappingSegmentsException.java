package wheatspread.store;

/** Thrown if two segments contain the same part of the log, and neither replaces the other. */
public final class OverlappingSegmentsException extends StoreException {
    private static final long serialVersionUID = 1L;

    private final String earlierFile;

    OverlappingSegmentsException(SegmentName earlier, SegmentName later) {
        super(
                later.toString(),
                "files " + earlier + " and " + later + " hold the same part of the log, and neither replaces the other",
                null);
        earlierFile = earlier.toString();
    }

    /** Returns the name of the file that precedes {@link #file} in the log. */
    public String earlierFile() {
        return earlierFile;
    }
}
