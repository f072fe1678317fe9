package wheatspread.jsonrpc;

/** A parameter of a request is missing, has the wrong type or is out of range. */
final class InvalidParameterException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String parameter;

    /** {@code problem} continues a sentence that begins with the name of the parameter. */
    InvalidParameterException(String parameter, String problem) {
        super(parameter + " " + problem);
        this.parameter = parameter;
    }

    /** The parameter's name on the wire. */
    String parameter() {
        return parameter;
    }
}
