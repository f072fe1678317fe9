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
 * Converts the parameters of a JSON-RPC call into an {@link InboundRequest} and checks them. Immutable: a
 * reload of the settings makes a new one.
 */
final class RequestReader {
    private static final int MAX_BODY_BYTES = 2 * 1024;
    private static final int MAX_KEY_CHARS = 256;
    private static final double MAX_BALANCER = Integer.MAX_VALUE;
    private static final double MAX_MEMORY_KB = 2_000;
    private static final double MICROS_PER_MILLI = 1_000;
    /** How far an arrival time may lie ahead of this machine's clock. */
    private static final double MAX_ARRIVAL_AHEAD_MS = 1_000;
    /** The largest plausible timeout or cost, as a multiple of the deadline of the request's class. */
    private static final double MAX_DEADLINES = 10;

    private final DeploymentSettings settings;
    private final Map<String, Integer> classIndexes;

    RequestReader(DeploymentSettings settings) {
        this.settings = settings;
        classIndexes = indexes(settings.classes());
    }

    private static Map<String, Integer> indexes(List<String> names) {
        Map<String, Integer> map = new HashMap<>();
        names.forEach(name -> map.put(name, map.size()));
        return map;
    }

    /** Returns whether a method is the name of a request class. */
    boolean isRequestClass(String method) {
        return classIndexes.containsKey(method);
    }

    /** {@code nowMicros} is Unix time. */
    InboundRequest read(String method, JSONObject params, long nowMicros) {
        int classIndex = classIndexes.get(method);
        String attemptId = text(params, RpcWireNames.ATTEMPT_ID);
        if (!attemptId.matches("[0-9a-fA-F]{16}")) {
            throw new InvalidParameterException(RpcWireNames.ATTEMPT_ID, "is not 16 hex digits");
        }
        RequestClass requestClass = settings.settings().classes().get(classIndex);
        // implausible figures would distort the service time estimates and the scheduler's virtual time
        double maxMillis = MAX_DEADLINES * requestClass.deadlineMicros() / MICROS_PER_MILLI;
        double maxArrivalMillis = nowMicros / MICROS_PER_MILLI + MAX_ARRIVAL_AHEAD_MS;
        long arrivalMicros = Math.round(number(params, RpcWireNames.ARRIVAL_MS, 0, maxArrivalMillis)) * 1000;
        // where a deployment's callers send no timeout, the deadline of the request's class holds
        boolean hasClientTimeout = params.has(RpcWireNames.CLIENT_TIMEOUT_MS);
        long timeoutMicros = hasClientTimeout
                ? micros(number(params, RpcWireNames.CLIENT_TIMEOUT_MS, 0, maxMillis))
                : requestClass.deadlineMicros();
        boolean retry = optionalNumber(params, RpcWireNames.RETRY, 1) > 0;
        double memoryKb = number(params, RpcWireNames.MEMORY_KB, 0, MAX_MEMORY_KB);
        long expectedWorkMicros = micros(optionalNumber(params, RpcWireNames.EXPECTED_WORK_MS, maxMillis));
        optionalNumber(params, RpcWireNames.BALANCER, MAX_BALANCER);
        if (optionalNumber(params, RpcWireNames.PRIORITY_RANK, 1) >= 1) {
            throw new InvalidParameterException(RpcWireNames.PRIORITY_RANK, "is out of range");
        }
        String idempotencyKey = null;
        String cacheKey = null;
        if (requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY) {
            idempotencyKey = key(params, RpcWireNames.IDEMPOTENCY_KEY);
        } else if (params.has(RpcWireNames.CACHE_KEY)) {
            cacheKey = key(params, RpcWireNames.CACHE_KEY);
        }
        return new InboundRequest(
                attemptId,
                classIndex,
                tenant(params),
                arrivalMicros,
                arrivalMicros + timeoutMicros,
                hasClientTimeout,
                retry,
                memoryKb,
                expectedWorkMicros,
                idempotencyKey,
                cacheKey,
                body(params));
    }

    private static long micros(double millis) {
        return Math.round(millis * MICROS_PER_MILLI);
    }

    private static double optionalNumber(JSONObject params, String name, double max) {
        return params.has(name) ? number(params, name, 0, max) : 0;
    }

    /** Keys are kept for a while, so their length is bounded. */
    private static String key(JSONObject params, String name) {
        String key = text(params, name);
        if (key.isEmpty() || key.length() > MAX_KEY_CHARS) {
            throw new InvalidParameterException(name, "is empty or over " + MAX_KEY_CHARS + " characters");
        }
        return key;
    }

    private int tenant(JSONObject params) {
        if (settings.tenants().isEmpty()) {
            return 0;
        }
        int tenant = settings.tenants().indexOf(text(params, RpcWireNames.TENANT));
        if (tenant < 0) {
            throw new InvalidParameterException(RpcWireNames.TENANT, "is unknown");
        }
        return tenant;
    }

    private static byte[] body(JSONObject params) {
        byte[] body;
        try {
            body = Base64.getDecoder().decode(text(params, RpcWireNames.BODY));
        } catch (IllegalArgumentException e) {
            throw new InvalidParameterException(RpcWireNames.BODY, "is not base64");
        }
        if (body.length > MAX_BODY_BYTES) {
            throw new InvalidParameterException(RpcWireNames.BODY, "is over " + MAX_BODY_BYTES + " bytes");
        }
        return body;
    }

    private static String text(JSONObject params, String name) {
        if (params.opt(name) instanceof String text) {
            return text;
        }
        throw new InvalidParameterException(name, "is missing or not a string");
    }

    private static double number(JSONObject params, String name, double min, double max) {
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
