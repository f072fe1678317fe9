package wheatspread.store;

import com.google.protobuf.InvalidProtocolBufferException;

/** The header of a segment has a correct checksum, but is no header of the version that it names. */
public final class InvalidHeaderException extends StoreException {
    private static final long serialVersionUID = 1L;

    InvalidHeaderException(SegmentName file, int version, InvalidProtocolBufferException cause) {
        super(
                file.toString(),
                "a header is whole, but not one of version " + version + ": " + cause.getMessage(),
                cause);
    }
}
