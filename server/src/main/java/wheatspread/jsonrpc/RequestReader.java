package wheatspread.jsonrpc;

import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.json.JSONObject;
import wheatspread.admission.Idempotency;
import wheatspread.admission.RequestClass;
import wheatspread.core.DeploymentSettings;
import wheatspread.core.InboundRequest;

/**
 * Checks the parameters of a JSON-RPC call and converts them into an {@link InboundRequest}. Immutable: each
 * reload of the settings creates a new reader.
 */
final class RequestReader {
    private static final int MAX_BODY_BYTES = 2 * 1024;
    private static final int MAX_KEY_CHARS = 256;
    private static final double MAX_BALANCER_NUMBER = Integer.MAX_VALUE;
    private static final double MAX_MEMORY_KB = 2_000;
    private static final double MICROS_PER_MILLI = 1_000;
    /** The maximum by which an arrival time may be ahead of this machine's clock. */
    private static final double MAX_ARRIVAL_AHEAD_MS = 1_000;
    /** The maximum client timeout and expected work, as a multiple of the deadline of the request class. */
    private static final double MAX_DEADLINE_MULTIPLE = 10;

    private final DeploymentSettings settings;
    private final Map<String, Integer> classIndexes;

    RequestReader(DeploymentSettings settings) {
        this.settings = settings;
        classIndexes = indexByName(settings.classes());
    }

    private static Map<String, Integer> indexByName(List<String> names) {
        Map<String, Integer> indexes = new HashMap<>();
        names.forEach(name -> indexes.put(name, indexes.size()));
        return indexes;
    }

    /** Returns whether a method is the name of a request class. */
    boolean isRequestClass(String method) {
        return classIndexes.containsKey(method);
    }

    /**
     * Reads a request of the class named {@code method}, for which {@link #isRequestClass} must be true.
     * {@code nowMicros} is Unix time. Throws an InvalidParameterException if a parameter is missing or invalid.
     */
    InboundRequest read(String method, JSONObject params, long nowMicros) {
        int classIndex = classIndexes.get(method);
        String attemptId = readText(params, RpcWireNames.ATTEMPT_ID);
        if (!attemptId.matches("[0-9a-fA-F]{16}")) {
            throw new InvalidParameterException(RpcWireNames.ATTEMPT_ID, "is not 16 hex digits");
        }
        RequestClass requestClass = settings.settings().classes().get(classIndex);
        // values above the maxima would distort the service time estimates and the scheduler's virtual time
        double maxMillis = MAX_DEADLINE_MULTIPLE * requestClass.deadlineMicros() / MICROS_PER_MILLI;
        double maxArrivalMillis = nowMicros / MICROS_PER_MILLI + MAX_ARRIVAL_AHEAD_MS;
        long arrivalMicros = Math.round(readNumber(params, RpcWireNames.ARRIVAL_MS, 0, maxArrivalMillis)) * 1000;
        // a request without a client timeout is bounded by the deadline of its request class
        boolean hasClientTimeout = params.has(RpcWireNames.CLIENT_TIMEOUT_MS);
        long timeoutMicros = hasClientTimeout
                ? micros(readNumber(params, RpcWireNames.CLIENT_TIMEOUT_MS, 0, maxMillis))
                : requestClass.deadlineMicros();
        boolean retry = readOptionalNumber(params, RpcWireNames.RETRY, 1) > 0;
        double memoryKb = readNumber(params, RpcWireNames.MEMORY_KB, 0, MAX_MEMORY_KB);
        long expectedWorkMicros = micros(readOptionalNumber(params, RpcWireNames.EXPECTED_WORK_MS, maxMillis));
        readOptionalNumber(params, RpcWireNames.BALANCER, MAX_BALANCER_NUMBER);
        if (readOptionalNumber(params, RpcWireNames.PRIORITY_RANK, 1) >= 1) {
            throw new InvalidParameterException(RpcWireNames.PRIORITY_RANK, "is out of range");
        }
        String idempotencyKey = null;
        String cacheKey = null;
        if (requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY) {
            idempotencyKey = readKey(params, RpcWireNames.IDEMPOTENCY_KEY);
        } else if (params.has(RpcWireNames.CACHE_KEY)) {
            cacheKey = readKey(params, RpcWireNames.CACHE_KEY);
        }
        return new InboundRequest(
                attemptId,
                classIndex,
                readTenant(params),
                arrivalMicros,
                arrivalMicros + timeoutMicros,
                hasClientTimeout,
                retry,
                memoryKb,
                expectedWorkMicros,
                idempotencyKey,
                cacheKey,
                readBody(params));
    }

    private static long micros(double millis) {
        return Math.round(millis * MICROS_PER_MILLI);
    }

    private static double readOptionalNumber(JSONObject params, String name, double max) {
        return params.has(name) ? readNumber(params, name, 0, max) : 0;
    }

    /** Reads an idempotency or cache key; its length is bounded because keys are retained after the request. */
    private static String readKey(JSONObject params, String name) {
        String key = readText(params, name);
        if (key.isEmpty() || key.length() > MAX_KEY_CHARS) {
            throw new InvalidParameterException(name, "is empty or over " + MAX_KEY_CHARS + " characters");
        }
        return key;
    }

    private int readTenant(JSONObject params) {
        if (settings.tenants().isEmpty()) {
            return 0;
        }
        int tenant = settings.tenants().indexOf(readText(params, RpcWireNames.TENANT));
        if (tenant < 0) {
            throw new InvalidParameterException(RpcWireNames.TENANT, "is unknown");
        }
        return tenant;
    }

    private static byte[] readBody(JSONObject params) {
        byte[] body;
        try {
            body = Base64.getDecoder().decode(readText(params, RpcWireNames.BODY));
        } catch (IllegalArgumentException e) {
            throw new InvalidParameterException(RpcWireNames.BODY, "is not base64");
        }
        if (body.length > MAX_BODY_BYTES) {
            throw new InvalidParameterException(RpcWireNames.BODY, "is over " + MAX_BODY_BYTES + " bytes");
        }
        return body;
    }

    private static String readText(JSONObject params, String name) {
        if (params.opt(name) instanceof String text) {
            return text;
        }
        throw new InvalidParameterException(name, "is missing or not a string");
    }

    private static double readNumber(JSONObject params, String name, double min, double max) {
        if (!(params.opt(name) instanceof Number number)) {
            throw new InvalidParameterException(name, "is missing or not a number");
        }
        double value = number.doubleValue();
        if (!(value >= min && value <= max)) {
            throw new InvalidParameterException(name, "is out of range");
        }
        return value;
    }
}
