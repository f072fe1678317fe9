package wheatspread.uwsgi;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Guards against changing a value on the wire when a constant is renamed or added. */
class UwsgiWireNamesTest {
    private static final Map<String, Object> EXPECTED_VALUES = Map.of(
            "CONTENT_LENGTH", "CONTENT_LENGTH",
            "PATH", "PATH_INFO",
            "PATH_AND_QUERY", "REQUEST_URI",
            "LOAD_FEEDBACK_HEADER", "X-Recipe-Feedback",
            "DO_NOT_RETRY_HEADER", "X-Recipe-Give-Up",
            "RETRY_AFTER_HEADER", "Retry-After");

    @Test
    void constantsHaveTheValuesFixedByTheProtocols() throws IllegalAccessException {
        Map<String, Object> constants = new TreeMap<>();
        for (Field field : UwsgiWireNames.class.getDeclaredFields()) {
            if (!field.isSynthetic() && Modifier.isStatic(field.getModifiers())) {
                constants.put(field.getName(), field.get(null));
            }
        }
        assertThat(constants).isEqualTo(new TreeMap<>(EXPECTED_VALUES));
    }
}
