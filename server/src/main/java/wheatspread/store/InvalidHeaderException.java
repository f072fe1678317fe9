package wheatspread.store;

import com.google.protobuf.InvalidProtocolBufferException;

/** Thrown if the header of a segment has a correct checksum but cannot be parsed as the version that it states. */
public final class InvalidHeaderException extends StoreException {
    private static final long serialVersionUID = 1L;

    InvalidHeaderException(SegmentName file, int version, InvalidProtocolBufferException cause) {
        super(
                file.toString(),
                "the header of file " + file + " has a correct checksum but cannot be parsed as version " + version
                        + ": " + cause.getMessage(),
                cause);
    }
}
