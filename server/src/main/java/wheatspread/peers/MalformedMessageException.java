package wheatspread.peers;

/** A received message that is dropped, with the reason under which it is counted and the field that was wrong. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Why a message is dropped. */
    public enum Reason {
        /** The checksum does not match: damaged on its way, or not a message of this protocol. */
        CORRUPT("spoilt"),
        /** The envelope can't be parsed, or a field is outside its bounds. */
        INVALID("garbage"),
        /** It belongs to another cluster. */
        OTHER_CLUSTER("foreign"),
        /** Its major format version is not the one of this program. */
        UNSUPPORTED_VERSION("version");

        private final String counterName;

        Reason(String counterName) {
            this.counterName = counterName;
        }

        /** The name in the operators' figures, after {@code unread_}; it stays when the constant is renamed. */
        String counterName() {
            return counterName;
        }
    }

    private final Reason reason;
    private final String field;
    private final String value;

    private MalformedMessageException(Reason reason, String field, String value, String message) {
        super(message, null, false, false); // no stack trace: a flood of bad messages must stay cheap
        this.reason = reason;
        this.field = field;
        this.value = value;
    }

    static MalformedMessageException corrupt() {
        return new MalformedMessageException(Reason.CORRUPT, "checksum", "", "checksum does not match");
    }

    static MalformedMessageException unparsable(String error) {
        return new MalformedMessageException(Reason.INVALID, "envelope", "", "envelope can't be parsed: " + error);
    }

    static MalformedMessageException invalid(String field, Object value) {
        return new MalformedMessageException(Reason.INVALID, field, String.valueOf(value), field + ": " + value);
    }

    static MalformedMessageException otherCluster(String cluster) {
        return new MalformedMessageException(
                Reason.OTHER_CLUSTER, "cluster", cluster, "message of another cluster: " + cluster);
    }

    static MalformedMessageException unsupportedVersion(int major) {
        return new MalformedMessageException(
                Reason.UNSUPPORTED_VERSION, "major", String.valueOf(major), "format version " + major);
    }

    /** Under what the message is counted. */
    public Reason reason() {
        return reason;
    }

    /** The field of the message that was wrong. */
    public String field() {
        return field;
    }

    /** What stood in that field; empty where it could not be read. */
    public String value() {
        return value;
    }
}
