package wheatspread.jsonrpc;

/** Thrown if a parameter of a request is missing, has the wrong type or is out of range. */
final class InvalidParameterException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String parameter;

    /** Creates an exception whose message is the parameter's name followed by {@code problem}, such as "is missing". */
    InvalidParameterException(String parameter, String problem) {
        super(parameter + " " + problem);
        this.parameter = parameter;
    }

    /** Returns the parameter's name on the wire. */
    String parameter() {
        return parameter;
    }
}
