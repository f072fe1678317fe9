package wheatspread.uwsgi;

/** Thrown if a uwsgi var of a request is missing or invalid. */
final class InvalidVarException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String varName;

    /** Creates an exception whose message is the var's name followed by {@code problem}, such as "is missing". */
    InvalidVarException(String varName, String problem) {
        super(varName + " " + problem);
        this.varName = varName;
    }

    String varName() {
        return varName;
    }
}
