package wheatspread.jsonrpc;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Guards against changing a value on the wire when a constant is renamed or added. */
class RpcWireNamesTest {
    private static final Map<String, Object> EXPECTED_VALUES = Map.ofEntries(
            Map.entry("ID", "id"),
            Map.entry("METHOD", "method"),
            Map.entry("PARAMS", "params"),
            Map.entry("ERROR_CODE", "code"),
            Map.entry("ERROR_MESSAGE", "message"),
            Map.entry("ERROR_DATA", "data"),
            Map.entry("HEALTH_CHECK", "check"),
            Map.entry("STATS", "stats"),
            Map.entry("CANCEL", "interrupt"),
            Map.entry("CONNECTION_DRAINING", "lastCall"),
            Map.entry("ATTEMPT_ID", "txn"),
            Map.entry("ARRIVAL_MS", "door"),
            Map.entry("CLIENT_TIMEOUT_MS", "limit"),
            Map.entry("RETRY", "second"),
            Map.entry("MEMORY_KB", "ram"),
            Map.entry("EXPECTED_WORK_MS", "cpu"),
            Map.entry("BALANCER", "lb"),
            Map.entry("PRIORITY_RANK", "standing"),
            Map.entry("IDEMPOTENCY_KEY", "unique"),
            Map.entry("CACHE_KEY", "item"),
            Map.entry("TENANT", "team"),
            Map.entry("BODY", "blob"),
            Map.entry("RETRY_AFTER_MS", "later"),
            Map.entry("DO_NOT_RETRY", "giveup"),
            Map.entry("LOAD_FEEDBACK", "feedback"),
            Map.entry("HEALTHY", "well"),
            Map.entry("LIFECYCLE_PHASE", "phase"),
            Map.entry("OPEN_REQUESTS", "open"),
            Map.entry("WARM_IN_MS", "warm_in_ms"),
            Map.entry("PARSE_ERROR", -32700),
            Map.entry("INVALID_REQUEST", -32600),
            Map.entry("METHOD_NOT_FOUND", -32601),
            Map.entry("INVALID_PARAMS", -32602),
            Map.entry("REJECTED", -32066),
            Map.entry("FAILED", -32000),
            Map.entry("DEADLINE_EXCEEDED", -32001),
            Map.entry("CONFLICT", -32002));

    @Test
    void constantsHaveTheValuesFixedByTheProtocol() throws IllegalAccessException {
        Map<String, Object> constants = new TreeMap<>();
        for (Field field : RpcWireNames.class.getDeclaredFields()) {
            if (!field.isSynthetic() && Modifier.isStatic(field.getModifiers())) {
                constants.put(field.getName(), field.get(null));
            }
        }
        assertThat(constants).isEqualTo(new TreeMap<>(EXPECTED_VALUES));
    }
}
