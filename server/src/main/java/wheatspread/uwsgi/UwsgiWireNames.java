package wheatspread.uwsgi;

/**
 * The vars of the uwsgi protocol and the header fields of responses. Each constant has the name of its meaning
 * in the code. The protocols fix the values: constants may be renamed, but their values must not change. The
 * names of the vars that carry a request's parameters come from the operator's file.
 */
final class UwsgiWireNames {
    /** The length of the body after the packet: bytes. */
    static final String CONTENT_LENGTH = "CONTENT_LENGTH";
    /** The path without its query, decoded by the web server. */
    static final String PATH = "PATH_INFO";
    /** The path with its query, as the client sent it. */
    static final String PATH_AND_QUERY = "REQUEST_URI";

    /** The load feedback. */
    static final String LOAD_FEEDBACK_HEADER = "X-Recipe-Feedback";
    /** The value is 1 if the request should not be retried on any server. */
    static final String DO_NOT_RETRY_HEADER = "X-Recipe-Give-Up";
    /** The retry-after: seconds. */
    static final String RETRY_AFTER_HEADER = "Retry-After";

    private UwsgiWireNames() {}
}
