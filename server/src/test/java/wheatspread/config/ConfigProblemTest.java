package wheatspread.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Checks that a fault has the file, line, key, value and allowed values in addition to its message. */
class ConfigProblemTest {
    @Test
    void reportsFaultsOfAFileWithLocationAndAllowedValues() {
        JsonFields fields = JsonFile.read("a.json", "{\n\"count\": 9,\n\"mode\": \"odd\",\n\"other\": 1}");
        fields.requireKnownKeys(Set.of("count", "mode"));
        fields.integer("count", 1, 1, 5);
        fields.oneOf("mode", Map.of("on", true, "off", false));
        JsonFields.InvalidValueException invalid =
                catchThrowableOfType(JsonFields.InvalidValueException.class, fields::throwIfInvalid);
        assertThat(invalid.problems())
                .containsExactly(
                        new ConfigProblem(
                                "a.json",
                                4,
                                "other",
                                "1",
                                "[count, mode]",
                                "a.json:4: other is an unknown key; known are [count, mode]"),
                        new ConfigProblem(
                                "a.json", 2, "count", "9", "1 to 5", "a.json:2: count is 9; allowed is 1 to 5"),
                        new ConfigProblem(
                                "a.json",
                                3,
                                "mode",
                                "odd",
                                "[off, on]",
                                "a.json:3: mode is an unknown word: odd; allowed are [off, on]"));
        assertThat(invalid.messages()).hasSize(3).first().asString().startsWith("a.json:4: other");
    }

    @Test
    void reportsFaultOfAMessageWithoutFileAndLine() {
        JsonFields fields = JsonFields.of(Map.of("share", 2), "message");
        JsonFields.InvalidValueException invalid =
                catchThrowableOfType(JsonFields.InvalidValueException.class, () -> fields.number("share", 0.5, 0, 1));
        assertThat(invalid.problems())
                .containsExactly(new ConfigProblem(
                        null, 0, "message.share", "2", "0.0 to 1.0", "message.share is 2.0; allowed is 0.0 to 1.0"));
    }
}
