package wheatspread.uwsgi;

/**
 * The vars of the uwsgi protocol and the header fields of responses, each under the name that the code uses
 * for what it means. They are fixed by the protocols: rename the constants, never their values. The names of
 * the vars that carry a request's parameters come from the operator's file.
 */
final class UwsgiWireNames {
    /** The length of the body after the packet. */
    static final String CONTENT_LENGTH = "CONTENT_LENGTH";
    /** The path, as the web server decoded it. */
    static final String PATH = "PATH_INFO";
    /** The path with its query, as the caller sent it. */
    static final String PATH_AND_QUERY = "REQUEST_URI";

    /** The load feedback. */
    static final String LOAD_FEEDBACK_HEADER = "X-Recipe-Feedback";
    /** 1 if the request should not be retried on any server. */
    static final String DO_NOT_RETRY_HEADER = "X-Recipe-Give-Up";
    /** How long the caller should wait before it retries: seconds. */
    static final String RETRY_AFTER_HEADER = "Retry-After";

    private UwsgiWireNames() {}
}
