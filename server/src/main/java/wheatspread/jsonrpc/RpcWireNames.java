package wheatspread.jsonrpc;

/**
 * The names and numbers of the platform's JSON-RPC protocol. Each constant has the name of its meaning in the
 * code. The protocol fixes the values: constants may be renamed, but their values must not change. The methods
 * that carry requests are the names of the deployment's request classes.
 */
final class RpcWireNames {
    // ---- JSON-RPC 2.0 ----

    static final String ID = "id";
    static final String METHOD = "method";
    static final String PARAMS = "params";
    static final String ERROR_CODE = "code";
    static final String ERROR_MESSAGE = "message";
    static final String ERROR_DATA = "data";

    // ---- methods and notifications ----

    /** The health check. */
    static final String HEALTH_CHECK = "check";
    /** Returns the server's counters; answered only if enabled, see {@link RpcFront#enableStats}. */
    static final String STATS = "stats";
    /** Cancels a request; a notification from the client. */
    static final String CANCEL = "interrupt";
    /** Announces that the connection is draining, as HTTP/2's GOAWAY does; a notification to the client. */
    static final String CONNECTION_DRAINING = "lastCall";

    // ---- parameters of a request ----

    /** The id of the attempt: 16 hexadecimal digits. */
    static final String ATTEMPT_ID = "txn";
    /** The time when the request arrived at the machine: Unix time in milliseconds. */
    static final String ARRIVAL_MS = "door";
    /** The client's timeout, counted from the arrival time: milliseconds. */
    static final String CLIENT_TIMEOUT_MS = "limit";
    /** Positive if the attempt is a retry. */
    static final String RETRY = "second";
    /** The expected memory use of the run: KiB. */
    static final String MEMORY_KB = "ram";
    /** The expected processor time of the run: milliseconds. */
    static final String EXPECTED_WORK_MS = "cpu";
    /** The number of the balancer that forwards the request; checked and ignored. */
    static final String BALANCER = "lb";
    /** The priority rank of the client, from 0 to below 1; checked and ignored. */
    static final String PRIORITY_RANK = "standing";
    /** The idempotency key. */
    static final String IDEMPOTENCY_KEY = "unique";
    /** The cache key. */
    static final String CACHE_KEY = "item";
    /** The name of the tenant. */
    static final String TENANT = "team";
    /** The body of a request or of a result, in base64. */
    static final String BODY = "blob";

    // ---- fields of results and of errors' data ----

    /** The retry-after: milliseconds. */
    static final String RETRY_AFTER_MS = "later";
    /** The value is 1 if the request should not be retried on any server. */
    static final String DO_NOT_RETRY = "giveup";
    /** The load feedback. */
    static final String LOAD_FEEDBACK = "feedback";
    /** Whether the server is healthy. */
    static final String HEALTHY = "well";
    /** The phase of the process's lifecycle. */
    static final String LIFECYCLE_PHASE = "phase";
    /** The number of requests without an answer. */
    static final String OPEN_REQUESTS = "open";
    /** The time until the warm-up ends: milliseconds. */
    static final String WARM_IN_MS = "warm_in_ms";

    // ---- error codes ----

    static final int PARSE_ERROR = -32700;
    static final int INVALID_REQUEST = -32600;
    static final int METHOD_NOT_FOUND = -32601;
    static final int INVALID_PARAMS = -32602;
    /** The request was rejected and never ran. */
    static final int REJECTED = -32066;
    /** The request failed, and may have run. */
    static final int FAILED = -32000;
    /** The deadline passed before the request was answered. */
    static final int DEADLINE_EXCEEDED = -32001;
    /** The attempt id is in use, or the idempotency key was used with another body. */
    static final int CONFLICT = -32002;

    private RpcWireNames() {}
}
