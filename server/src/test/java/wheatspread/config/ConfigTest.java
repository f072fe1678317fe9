package wheatspread.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.json.JSONObject;
import org.json.JSONPointer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConfigTest {
    private static final Path PLATFORM = Path.of("src/test/resources/config.json");
    private static final Path OPERATOR = Path.of("src/test/resources/operator.json");

    private static Map<String, Object> withValue(Path file, String pointer, String key, String value)
            throws IOException {
        JSONObject json = new JSONObject(Files.readString(file));
        Object parent = pointer.isEmpty() ? json : new JSONPointer(pointer).queryFrom(json);
        ((JSONObject) parent).put(key, JSONObject.stringToValue(value));
        return json.toMap();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "|kernel|nowhere|kernel is not host:port: nowhere",
                "|listen|127.0.0.1:70000|listen is not host:port",
                "|records|null|records is missing or not text",
                "|stop_ms|soon|stop_ms is missing or not a number",
                "|stop_ms|5|stop_ms is 5; allowed is 100",
                "|seed|xyz|seed is not up to 16 hex digits",
                "|settings|3|settings is missing or not an object: 3",
                "/limits|sockets|8|limits.sockets is 8",
                "/settings/FamilyInfo|Halt|melt|settings.FamilyInfo.Halt is an unknown word: melt",
                "/settings/FamilyInfo|MemoryKb|much|settings.FamilyInfo.MemoryKb is missing or not a number",
                "/settings/Lanes/1|Deadline|null|settings.Lanes[1].Deadline is missing or not a number",
                "/settings/Lanes/0|Name|7|settings.Lanes[0].Name is missing or not text"
            })
    void reportsFaultOfPlatformKey(String pointer, String key, String value, String message) throws IOException {
        Map<String, Object> fields = withValue(PLATFORM, pointer == null ? "" : pointer, key, value);
        assertThatThrownBy(() -> ServerConfig.read(JsonFields.of(fields, "")))
                .isInstanceOf(JsonFields.InvalidValueException.class)
                .hasMessageContaining(message);
    }

    /** Guards against a start that fails because an address is missing that the deployment does not use. */
    @Test
    void recordsAndAnnounceServiceAreOptionalWithoutDependencyCalls() throws IOException {
        JSONObject fields = new JSONObject(Files.readString(PLATFORM));
        ServerConfig configWithRecords = ServerConfig.read(JsonFields.of(fields.toMap(), ""));
        fields.remove("records");
        fields.remove("announce");
        fields.getJSONObject("settings").getJSONObject("FamilyInfo").put("DependsOn", "silent");
        ServerConfig config = ServerConfig.read(JsonFields.of(fields.toMap(), ""));
        assertThat(config.records()).isNull();
        assertThat(config.announce()).isNull();
        fields.getJSONObject("settings")
                .getJSONObject("FamilyInfo")
                .put("DependsOn", "shared")
                .put("ClassCalls", List.of(false, false));
        assertThat(ServerConfig.read(JsonFields.of(fields.toMap(), "")).records())
                .isNull();
        assertThatThrownBy(() -> configWithRecords.requireNoServiceRemoved(config))
                .isInstanceOf(JsonFields.InvalidValueException.class)
                .hasMessageContaining("records is missing; this server uses the service at ");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "/uwsgi|listen|null|uwsgi.listen is missing or not text",
                "/uwsgi|max_conections|3|uwsgi.max_conections is an unknown key",
                "/uwsgi|max_body|-1|uwsgi.max_body is -1; allowed is 0",
                "/uwsgi|read_timeout_ms|1.5|uwsgi.read_timeout_ms is not an integer",
                "/uwsgi/defaults|class|soup|uwsgi.defaults.class is none of [stew, save]: soup",
                "/uwsgi/defaults|ram_kb|-2|uwsgi.defaults.ram_kb is out of range",
                "/uwsgi/routes/1|match|like|uwsgi.routes[1].match is an unknown word: like",
                "/uwsgi/routes/1|tenant|east|uwsgi.routes[1].tenant is none of [north, south]: east"
            })
    void reportsFaultOfOperatorKey(String pointer, String key, String value, String message) throws IOException {
        ServerConfig config = ServerConfig.read(JsonFields.of(withValue(PLATFORM, "", "name", "w1"), ""));
        JsonFields fields =
                JsonFields.of(withValue(OPERATOR, pointer, key, value), "").object("uwsgi", false);
        assertThatThrownBy(() -> UwsgiConfig.read(fields, config.site()))
                .isInstanceOf(JsonFields.InvalidValueException.class)
                .hasMessageContaining(message);
    }

    @Test
    void readsDeployedOperatorFileAndRoutesInheritItsDefaults() throws IOException {
        JSONObject platform = new JSONObject(Files.readString(PLATFORM));
        String[] classes = {"recipe-page", "search", "ingredients", "save-plan"};
        JSONObject lane =
                platform.getJSONObject("settings").getJSONArray("Lanes").getJSONObject(0);
        for (int i = 0; i < classes.length; i++) {
            platform.getJSONObject("settings")
                    .getJSONArray("Lanes")
                    .put(i, new JSONObject(lane.toString()).put("Name", classes[i]));
        }
        platform.getJSONObject("settings")
                .getJSONArray("Parties")
                .getJSONObject(0)
                .put("Name", "main-site");
        ServerConfig config = ServerConfig.read(JsonFields.of(platform.toMap(), ""));
        UwsgiConfig uwsgi = OperatorConfig.readFile(Path.of("../deploy/uwsgi.json"), config.site())
                .uwsgi();
        assertThat(uwsgi.routes().get(0).defaults()).isEqualTo(new UwsgiConfig.Defaults(3, 0, 0, 410_000, 24));
    }

    @Test
    void reportsFaultsOfOperatorFileWithKeyAndAllowedValues() throws Exception {
        JSONObject platform = new JSONObject(Files.readString(PLATFORM));
        ServerConfig config = ServerConfig.read(JsonFields.of(platform.toMap(), ""));
        Map<String, String> messages = Map.of(
                "{'connections': {'max_per_source': -1}}", "connections.max_per_source is -1; allowed is 0 to 1048576",
                "{'connections': {'idle_ms': 5}}", "connections.idle_ms is an unknown key; known are [accept_burst",
                "{'connections': {'refused': 'maybe'}}", "connections.refused is an unknown word: maybe",
                "{'turns': {'read_us': 'much'}}", "turns.read_us is missing or not a number",
                "{'transport': 'pigeon'}", "transport is an unknown word: pigeon",
                "{'turns': {'expiring': 0}}", "turns.expiring is 0; allowed is 1 to 100000",
                "{'upstream': {}}",
                        "upstream is an unknown key; known are [connections, life, log, membership, report_s");
        for (var entry : messages.entrySet()) {
            Path file = Files.writeString(
                    Files.createTempFile("operator", ".json"), entry.getKey().replace('\'', '"'));
            assertThatThrownBy(() -> OperatorConfig.readFile(file, config.site()))
                    .hasMessageStartingWith(file + ":1: " + entry.getValue());
            Files.delete(file);
        }
    }

    @Test
    void membershipIsDisabledWithoutItsKeyAndRequiresAddresses() throws Exception {
        ServerConfig config = ServerConfig.read(JsonFields.of(new JSONObject(Files.readString(PLATFORM)).toMap(), ""));
        assertThat(OperatorConfig.DEFAULT.membership()).isNull();
        assertThat(readOperator("{}", config).membership()).isNull();
        String requiredKeys = "'cluster': 'k', 'listen': '127.0.0.1:7400', 'seeds': ['127.0.0.1:7400']";
        assertThat(readOperator("{'membership': {" + requiredKeys + "}}", config)
                        .membership())
                .isEqualTo(new MembershipConfig(
                        "k",
                        new InetSocketAddress("127.0.0.1", 7400),
                        "127.0.0.1:7400",
                        List.of("127.0.0.1:7400"),
                        ""));
        Map<String, String> messages = Map.of(
                "{'membership': {}}",
                "membership.cluster is missing or not text",
                "{'membership': true}",
                "membership is missing or not an object: true",
                "{'membership': {'cluster': 'k', 'seeds': ['127.0.0.1:1']}}",
                "membership.listen is missing or not text",
                "{'membership': {'cluster': 'k', 'listen': 'here:1', 'seeds': ['127.0.0.1:1']}}",
                "membership.listen is not an IPv4 address and port such as 10.0.0.7:7400: here:1",
                "{'membership': {'cluster': 'k', 'listen': '0.0.0.0:1', 'seeds': ['127.0.0.1:1']}}",
                "membership.advertise is missing; it is required if listen is 0.0.0.0",
                "{'membership': {'cluster': 'k', 'listen': '127.0.0.1:1'}}",
                "membership.seeds has 0 addresses; allowed are 1 to 32",
                "{'membership': {" + requiredKeys + ", 'port': 5}}",
                "membership.port is an unknown key; known are [advertise, cluster, listen, seeds, zone]");
        for (var entry : messages.entrySet()) {
            assertThatThrownBy(() -> readOperator(entry.getKey(), config)).hasMessageContaining(entry.getValue());
        }
    }

    private static OperatorConfig readOperator(String text, ServerConfig config) throws IOException {
        Path file = Files.writeString(Files.createTempFile("operator", ".json"), text.replace('\'', '"'));
        try {
            return OperatorConfig.readFile(file, config.site());
        } finally {
            Files.delete(file);
        }
    }
}
