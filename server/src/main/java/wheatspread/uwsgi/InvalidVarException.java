package wheatspread.uwsgi;

/** A var of a request is missing or unreadable. */
final class InvalidVarException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String varName;

    /** {@code problem} continues a sentence that begins with the name of the var. */
    InvalidVarException(String varName, String problem) {
        super(varName + " " + problem);
        this.varName = varName;
    }

    String varName() {
        return varName;
    }
}
