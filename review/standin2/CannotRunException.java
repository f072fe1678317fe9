package review2;

/** The case could not run, which says nothing about the rule. */
final class CannotRunException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    CannotRunException(String message) {
        super(message);
    }
}
