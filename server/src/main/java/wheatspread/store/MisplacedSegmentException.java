package wheatspread.store;

/** A segment does not belong where it is: it was renamed, or it is a file of another store. */
public final class MisplacedSegmentException extends StoreException {
    private static final long serialVersionUID = 1L;

    private MisplacedSegmentException(SegmentName file, String message) {
        super(file.toString(), message, null);
    }

    /** The header names another file. */
    static MisplacedSegmentException renamed(SegmentName file, SegmentName nameInHeader) {
        return new MisplacedSegmentException(file, "file " + file + " says of itself that it is " + nameInHeader);
    }

    /** The header has another hash seed than the segments before it. */
    static MisplacedSegmentException ofAnotherStore(SegmentName file) {
        return new MisplacedSegmentException(file, "file " + file + " belongs to another store");
    }
}
