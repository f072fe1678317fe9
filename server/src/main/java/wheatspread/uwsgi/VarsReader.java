package wheatspread.uwsgi;

import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import wheatspread.admission.Idempotency;
import wheatspread.admission.RequestClass;
import wheatspread.config.UwsgiConfig;
import wheatspread.config.UwsgiConfig.Defaults;
import wheatspread.core.DeploymentSettings;
import wheatspread.core.InboundRequest;

/**
 * Checks the vars of a uwsgi packet and converts them into an {@link InboundRequest}. Missing vars are replaced
 * by the defaults of the path's route. Immutable: each reload of the settings creates a new reader.
 */
final class VarsReader {
    private static final double MAX_MEMORY_KB = 2_000;
    private static final double MICROS_PER_MILLI = 1_000;

    private final DeploymentSettings settings;
    private final UwsgiConfig config;
    private final Routes routes;
    private final Supplier<String> jobIds;

    VarsReader(DeploymentSettings settings, UwsgiConfig config, Supplier<String> jobIds) {
        this.settings = settings;
        this.config = config;
        this.jobIds = jobIds;
        routes = new Routes(config.routes(), config.defaults());
    }

    /** Returns the path of a request without its query; empty if no var carries a path. */
    static String path(Map<String, String> vars) {
        String uri = vars.getOrDefault(UwsgiWireNames.PATH, vars.getOrDefault(UwsgiWireNames.PATH_AND_QUERY, ""));
        int queryStart = uri.indexOf('?');
        return queryStart < 0 ? uri : uri.substring(0, queryStart);
    }

    /**
     * Reads a request. {@code nowMicros} is Unix time, and becomes the arrival time, because packets carry no
     * arrival time. Throws an InvalidVarException if a var is missing or invalid.
     */
    InboundRequest read(Map<String, String> vars, byte[] body, long nowMicros) {
        Defaults defaults = routes.find(path(vars));
        UwsgiConfig.Vars names = config.vars();
        int classIndex = readIndex(vars, names.requestClass(), settings.classes(), defaults.requestClass());
        int tenant = settings.tenants().isEmpty()
                ? 0
                : readIndex(vars, names.tenant(), settings.tenants(), defaults.tenant());
        RequestClass requestClass = settings.settings().classes().get(classIndex);
        long timeoutMicros = readMicros(vars, names.timeout(), defaults.timeoutMicros());
        boolean hasClientTimeout = timeoutMicros > 0;
        if (!hasClientTimeout) {
            timeoutMicros = requestClass.deadlineMicros();
        }
        double memoryKb = readNumber(vars, names.memory(), defaults.memoryKb());
        if (memoryKb > MAX_MEMORY_KB) {
            throw new InvalidVarException(names.memory(), "is over " + MAX_MEMORY_KB);
        }
        String idempotencyKey = null;
        String cacheKey = null;
        if (requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY) {
            idempotencyKey = readKey(vars, names.idempotencyKey());
            if (idempotencyKey == null) {
                throw new InvalidVarException(names.idempotencyKey(), "is missing, and this class needs it");
            }
        } else {
            cacheKey = readKey(vars, names.cacheKey());
        }
        return new InboundRequest(
                jobIds.get(),
                classIndex,
                tenant,
                nowMicros,
                nowMicros + timeoutMicros,
                hasClientTimeout,
                false,
                memoryKb,
                readMicros(vars, names.expectedWork(), defaults.expectedWorkMicros()),
                idempotencyKey,
                cacheKey,
                body);
    }

    /** Returns the value of a var; null if it is missing or empty. */
    private static String readText(Map<String, String> vars, String name) {
        String value = vars.get(name);
        return value == null || value.isEmpty() ? null : value;
    }

    /** Returns the value of a var with a key; its length is bounded because keys are retained after the request. */
    private String readKey(Map<String, String> vars, String name) {
        String key = readText(vars, name);
        if (key != null && key.length() > config.maxKeyChars()) {
            throw new InvalidVarException(name, "is over " + config.maxKeyChars() + " characters");
        }
        return key;
    }

    private static int readIndex(Map<String, String> vars, String name, List<String> knownValues, int defaultIndex) {
        String value = readText(vars, name);
        int index = value == null ? defaultIndex : knownValues.indexOf(value);
        if (index < 0) {
            throw new InvalidVarException(name, value == null ? "is missing and has no default" : "is unknown");
        }
        return index;
    }

    private static long readMicros(Map<String, String> vars, String name, long defaultMicros) {
        return Math.round(readNumber(vars, name, defaultMicros / MICROS_PER_MILLI) * MICROS_PER_MILLI);
    }

    private static double readNumber(Map<String, String> vars, String name, double defaultValue) {
        String value = readText(vars, name);
        if (value == null) {
            return defaultValue;
        }
        if (!value.matches("\\d{1,9}(\\.\\d{1,9})?")) {
            throw new InvalidVarException(name, "is not a number");
        }
        return Double.parseDouble(value);
    }
}
