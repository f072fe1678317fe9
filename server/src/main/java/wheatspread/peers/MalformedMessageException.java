package wheatspread.peers;

/** Thrown for a received message that must be dropped, with the reason for the counters and the invalid field. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /** The reason for which a message is dropped. */
    public enum Reason {
        /** The checksum does not match: the message was corrupted in transit, or is not of this protocol. */
        CORRUPT("spoilt"),
        /** The envelope can't be parsed, or a field is outside its bounds. */
        INVALID("garbage"),
        /** The message belongs to another cluster. */
        OTHER_CLUSTER("foreign"),
        /** The major format version of the message differs from that of this program. */
        UNSUPPORTED_VERSION("version");

        private final String counterName;

        Reason(String counterName) {
            this.counterName = counterName;
        }

        /**
         * Returns the suffix of the counter's name, after {@code unread_}; it must not change with the constant's name.
         */
        String counterName() {
            return counterName;
        }
    }

    private final Reason reason;
    private final String field;
    private final String value;

    private MalformedMessageException(Reason reason, String field, String value, String message) {
        super(message, null, false, false); // without a stack trace, so that a flood of malformed messages stays cheap
        this.reason = reason;
        this.field = field;
        this.value = value;
    }

    static MalformedMessageException corrupt() {
        return new MalformedMessageException(Reason.CORRUPT, "checksum", "", "checksum does not match the message");
    }

    static MalformedMessageException unparsable(String error) {
        return new MalformedMessageException(Reason.INVALID, "envelope", "", "envelope can't be parsed: " + error);
    }

    static MalformedMessageException invalid(String field, Object value) {
        return new MalformedMessageException(
                Reason.INVALID, field, String.valueOf(value), "invalid value of field " + field + ": " + value);
    }

    static MalformedMessageException otherCluster(String cluster) {
        return new MalformedMessageException(
                Reason.OTHER_CLUSTER, "cluster", cluster, "message of another cluster: " + cluster);
    }

    static MalformedMessageException unsupportedVersion(int major) {
        return new MalformedMessageException(
                Reason.UNSUPPORTED_VERSION,
                "major",
                String.valueOf(major),
                "message has major format version " + major + ", expected " + MessageCodec.MAJOR_VERSION);
    }

    /** Returns the reason under which the message is counted. */
    public Reason reason() {
        return reason;
    }

    /** Returns the name of the invalid field. */
    public String field() {
        return field;
    }

    /** Returns the value of that field as text; empty if it could not be read. */
    public String value() {
        return value;
    }
}
