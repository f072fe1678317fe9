package wheatspread.peers;

/** A message that is not read. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /** What it is counted under. */
    public enum Kind {
        /** Its checksum is wrong: it was spoilt on its way, or is none of ours. */
        SPOILT,
        /** It can't be read, or holds what no server says. */
        GARBAGE,
        /** It is of another cluster. */
        FOREIGN,
        /** It is of another major version. */
        VERSION
    }

    private final Kind kind;

    MalformedMessageException(Kind kind, String message) {
        super(message, null, false, false); // garbage comes in crowds: no stack is gathered
        this.kind = kind;
    }

    public Kind kind() {
        return kind;
    }
}
