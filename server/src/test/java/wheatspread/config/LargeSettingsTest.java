package wheatspread.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static wheatspread.LargeSettings.TENANTS;
import static wheatspread.LargeSettings.tenants;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wheatspread.LargeSettings;
import wheatspread.admission.Tenant;
import wheatspread.config.UwsgiConfig.Defaults;

/** Tests valid and invalid settings with the largest numbers of tenants and routes that operators plan for. */
class LargeSettingsTest {
    private static final int ROUTES = 16_000;

    @TempDir
    private Path dir;

    private Path writeConfig(Stream<String> tenantObjects) throws IOException {
        return Files.writeString(dir.resolve("config.json"), LargeSettings.config(tenantObjects));
    }

    private Path writeConfig(String tenantList) throws IOException {
        return Files.writeString(dir.resolve("config.json"), LargeSettings.config(tenantList));
    }

    private Path writeOperatorFile() throws IOException {
        String routes = IntStream.range(0, ROUTES)
                .mapToObj(i -> "{\"match\": \"prefix\", \"path\": \"/shop/" + i + "/\", \"tenant\": \"tenant-"
                        + (TENANTS - 1 - i) + "\"}")
                .collect(Collectors.joining(",\n"));
        return Files.writeString(
                dir.resolve("operator.json"),
                "{\"uwsgi\": {\"routes\": [" + routes + "],\n\"listen\": \"127.0.0.1:0\", \"max_connections\": 32,"
                        + "\"defaults\": {\"class\": \"save\", \"limit_ms\": 70, \"cpu_ms\": 2.5, \"ram_kb\": 9}}}");
    }

    private static Configuration load(Path config, Path operator) {
        return Configuration.load(Map.of("GW_CONFIG", config.toString()), operator);
    }

    private static List<String> faultMessages(Path config) {
        try {
            load(config, null);
            return List.of();
        } catch (JsonFields.InvalidValueException e) {
            return e.messages();
        }
    }

    @Test
    void readsTenantsAndRoutesInAnyOrderOfKeys() throws IOException {
        Configuration configuration = load(writeConfig(tenants(TENANTS)), writeOperatorFile());
        var site = configuration.server().site();
        assertThat(site.tenants()).hasSize(TENANTS);
        assertThat(site.tenants().get(TENANTS - 1)).isEqualTo("tenant-" + (TENANTS - 1));
        List<Tenant> expected = IntStream.range(0, TENANTS)
                .mapToObj(i -> new Tenant(i % 7 + 0.1))
                .collect(Collectors.toList());
        assertThat(site.settings().tenants()).isEqualTo(expected);
        assertThat(site.settings().tenants().stream()
                        .mapToDouble(Tenant::quotaPerSecond)
                        .sum())
                .isEqualTo(expected.stream().mapToDouble(Tenant::quotaPerSecond).sum());
        var routes = configuration.operator().uwsgi().routes();
        assertThat(routes).hasSize(ROUTES);
        for (int i = 0; i < ROUTES; i++) {
            assertThat(routes.get(i).defaults()).isEqualTo(new Defaults(1, TENANTS - 1 - i, 70_000, 2_500, 9));
        }
        assertThat(configuration.sources().get(0).settings())
                .hasSizeLessThan(200)
                .anyMatch(setting -> setting.value().equals("100000 tenants, QuotaPerS from 0.1 to 6.1"));
        assertThat(configuration.sources().get(1).settings())
                .anyMatch(setting -> setting.value().equals("16000 routes"));
    }

    /** Guards against settings whose check needs more than the heap of the deployment. */
    @Test
    @Timeout(value = 60, unit = TimeUnit.SECONDS)
    void largeSettingsFitIntoTheDeployedHeap() throws Exception {
        assertThat(run(
                        "-Xmx48m",
                        writeConfig(tenants(TENANTS)),
                        "check",
                        writeOperatorFile().toString()))
                .containsExactly("no faults found", "exit 0");
    }

    @ParameterizedTest
    @CsvSource({"check", "serve"})
    @Timeout(value = 60, unit = TimeUnit.SECONDS)
    void outOfMemoryPrintsOneMessageAndExitsWithConfigurationFault(String command) throws Exception {
        List<String> output = run("-Xmx12m", writeConfig(tenants(TENANTS * 5 / 2)), command);
        assertThat(output).last().isEqualTo("exit 78");
        output.remove("1 fault");
        assertThat(output).hasSize(2).first().asString().contains("more memory");
    }

    /** Runs the program and returns the lines of its output, followed by its exit code. */
    private static List<String> run(String heap, Path config, String... args) throws Exception {
        Process process = LargeSettings.process(heap, config, args).start();
        List<String> output = new ArrayList<>(
                new String(process.getInputStream().readAllBytes()).lines().toList());
        output.add("exit " + process.waitFor());
        return output;
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{'Name': 'tenant-17'}|Parties[100].Name is already used by element 17 on line 34: tenant-17",
                "{'Name': ''}|Parties[100].Name has 0 bytes; allowed are 1 to 1024",
                "{'Name': '64KiB'}|Parties[100].Name has 65536 bytes; allowed are 1 to 1024",
                "{'Name': '\\ud83c'}|Parties[100].Name contains an unpaired surrogate",
                "{'Name': 7}|Parties[100].Name is missing or not text: 7",
                "{'Name': 'x', 'QuotaPerS': -1}|Parties[100].QuotaPerS is -1.0; allowed is 0.0 to 1.0E9",
                "{'Name': 'x', 'QuotaPerS': 1e400}|Parties[100].QuotaPerS is Infinity; allowed is 0.0 to 1.0E9",
                "{'Name': 'x', 'QuotaPerS': 'NaN'}|Parties[100].QuotaPerS is missing or not a number: NaN; allowed is",
                "{'Name': 'x', 'QuotaPerS': NaN}|117: is not a JSON object: Non-standard token 'NaN'",
                "['x']|Parties[100] is not an object: a list",
                "5|Parties[100] is not an object: 5"
            })
    void reportsLocationOfFaultyTenantAmongMany(String faulty, String message) throws IOException {
        String tenant = faulty.replace('\'', '"').replace("64KiB", "n".repeat(64 << 10));
        Path config = writeConfig(Stream.of(tenants(100), Stream.of(tenant), Stream.of("{\"Name\": \"last\"}"))
                .flatMap(objects -> objects));
        assertThat(faultMessages(config)).hasSize(1);
        assertThat(faultMessages(config).get(0)).startsWith(config + ":117: ").contains(message);
    }

    @Test
    void absentQuotaIsZero() throws IOException {
        var site = load(writeConfig("[{\"Name\": \"a\", \"QuotaPerS\": 0}, {\"Name\": \"b\"}]"), null)
                .server()
                .site();
        assertThat(site.settings().tenants()).containsExactly(new Tenant(0), new Tenant(0));
    }

    @Test
    void keepsFirstFaultsAndCountsOthers() throws IOException {
        Path config = writeConfig(tenants(TENANTS).map(tenant -> tenant.replace("QuotaPerS\": ", "QuotaPerS\": -1")));
        assertThatThrownBy(() -> load(config, null))
                .isInstanceOfSatisfying(JsonFields.InvalidValueException.class, e -> {
                    assertThat(e.messages()).hasSize(ConfigProblems.MAX_KEPT);
                    assertThat(e.count()).isEqualTo(TENANTS);
                })
                .hasMessageEndingWith("(and 99999 more; 'check' lists the first 100)");
    }

    @Test
    void rejectsTenantsThatAreNotAListAndTooLargeLists() throws IOException {
        assertThat(faultMessages(writeConfig("{\"Name\": \"x\"}")))
                .singleElement()
                .asString()
                .contains("Parties is not a list: an object");
        assertThat(faultMessages(writeConfig(tenants((1 << 18) + 1))))
                .singleElement()
                .asString()
                .endsWith("settings.Parties has more than 262144 elements");
        Path operator = Files.writeString(
                dir.resolve("operator.json"), "{\"vars\": [" + "\"x\",\n".repeat(100_000) + "\"x\"]}");
        assertThatThrownBy(() -> load(writeConfig("[]"), operator))
                .hasMessageContaining("the settings up to this line need more than 4194304 bytes of memory; "
                        + "only uwsgi.routes may need more");
    }

    @Test
    void reportsUnknownTenantOfARouteWithShortenedListOfNames() throws IOException {
        Path operator = Files.writeString(dir.resolve("operator.json"), """
            {"uwsgi": {"listen": "127.0.0.1:0", "routes": [
              {"match": "prefix", "path": "/", "routes": [{"match": "exact", "path": "/x", "tenant": "nobody"}]}]}}
            """);
        assertThatThrownBy(() -> load(writeConfig(tenants(TENANTS)), operator))
                .hasMessageContaining(":2: uwsgi.routes[0].routes[0].tenant is none of [tenant-0, tenant-1, ")
                .hasMessageEndingWith("tenant-7] and 99992 more: nobody");
    }

    @Test
    void rejectsTruncatedFile() throws IOException {
        Path config = writeConfig(tenants(TENANTS));
        String whole = Files.readString(config);
        Files.writeString(config, whole.substring(0, whole.length() / 2));
        assertThat(faultMessages(config))
                .singleElement()
                .asString()
                .contains("is not a JSON object: Unexpected end-of-input");
    }

    /** Guards against a mixture of old and new settings from a file that is overwritten while it is read. */
    @ParameterizedTest
    @CsvSource({"TRUNCATE_EXISTING, is not a JSON object", "APPEND, was changed while it was read"})
    void rejectsFileThatChangesDuringRead(StandardOpenOption writeOption, String message) throws IOException {
        Path config = writeConfig(tenants(TENANTS));
        ListReader reader = new FileChangingReader(config, writeOption);
        assertThatThrownBy(() -> JsonFile.read(config, Map.of("settings.Parties", () -> reader)))
                .isInstanceOf(JsonFields.InvalidValueException.class)
                .hasMessageContaining(message);
    }

    /** Changes the file when its first tenant is read. */
    private record FileChangingReader(Path file, StandardOpenOption writeOption) implements ListReader {
        @Override
        public int maxElements() {
            return TENANTS;
        }

        @Override
        public void read(int index, JsonFields element) {
            try {
                if (index == 0) {
                    Files.writeString(file, "\n", writeOption);
                }
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}
