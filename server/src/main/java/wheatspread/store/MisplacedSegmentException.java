package wheatspread.store;

/** Thrown if a segment was renamed, or belongs to another store. */
public final class MisplacedSegmentException extends StoreException {
    private static final long serialVersionUID = 1L;

    private MisplacedSegmentException(SegmentName file, String message) {
        super(file.toString(), message, null);
    }

    /** Creates the exception for a segment whose header names another file. */
    static MisplacedSegmentException renamed(SegmentName file, SegmentName nameInHeader) {
        return new MisplacedSegmentException(file, "file " + file + " was renamed: its header names " + nameInHeader);
    }

    /** Creates the exception for a segment whose hash seed differs from that of the segments before it. */
    static MisplacedSegmentException ofAnotherStore(SegmentName file) {
        return new MisplacedSegmentException(file, "file " + file + " belongs to another store");
    }
}
