package wheatspread.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static wheatspread.AtSize.TENANTS;
import static wheatspread.AtSize.tenants;

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
import wheatspread.AtSize;
import wheatspread.admission.Tenant;
import wheatspread.config.UwsgiConfig.Defaults;

/** Settings with as many tenants and routes as operators plan with, right and wrong. */
class SettingsAtSizeTest {
    private static final int ROUTES = 16_000;

    @TempDir
    private Path dir;

    private Path config(Stream<String> parties) throws IOException {
        return Files.writeString(dir.resolve("config.json"), AtSize.config(parties));
    }

    private Path config(String parties) throws IOException {
        return Files.writeString(dir.resolve("config.json"), AtSize.config(parties));
    }

    private Path operator() throws IOException {
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

    private static List<String> faults(Path config) {
        try {
            load(config, null);
            return List.of();
        } catch (JsonFields.InvalidValueException e) {
            return e.messages();
        }
    }

    @Test
    void tenantsAndRoutesAreReadInAnyOrderOfKeys() throws IOException {
        Configuration all = load(config(tenants(TENANTS)), operator());
        var site = all.server().site();
        assertThat(site.tenants()).hasSize(TENANTS);
        assertThat(site.tenants().get(TENANTS - 1)).isEqualTo("tenant-" + (TENANTS - 1));
        List<Tenant> plain = IntStream.range(0, TENANTS)
                .mapToObj(i -> new Tenant(i % 7 + 0.1))
                .collect(Collectors.toList());
        assertThat(site.settings().tenants()).isEqualTo(plain);
        assertThat(site.settings().tenants().stream()
                        .mapToDouble(Tenant::quotaPerSecond)
                        .sum())
                .isEqualTo(plain.stream().mapToDouble(Tenant::quotaPerSecond).sum());
        var routes = all.operator().uwsgi().routes();
        assertThat(routes).hasSize(ROUTES);
        for (int i = 0; i < ROUTES; i++) {
            assertThat(routes.get(i).defaults()).isEqualTo(new Defaults(1, TENANTS - 1 - i, 70_000, 2_500, 9));
        }
        assertThat(all.sources().get(0).settings())
                .hasSizeLessThan(200)
                .anyMatch(one -> one.value().equals("100000 tenants, QuotaPerS from 0.1 to 6.1"));
        assertThat(all.sources().get(1).settings()).anyMatch(one -> one.value().equals("16000 routes"));
    }

    /** A start or a check with large settings must fit into the heap of the deployment. */
    @Test
    @Timeout(value = 60, unit = TimeUnit.SECONDS)
    void largeSettingsFitIntoTheDeployedHeap() throws Exception {
        assertThat(run("-Xmx48m", config(tenants(TENANTS)), "check", operator().toString()))
                .containsExactly("no faults found", "exit 0");
    }

    @ParameterizedTest
    @CsvSource({"check", "serve"})
    @Timeout(value = 60, unit = TimeUnit.SECONDS)
    void outOfMemoryIsOneMessageAndTheExitCodeOfSettings(String command) throws Exception {
        List<String> output = run("-Xmx12m", config(tenants(TENANTS * 5 / 2)), command);
        assertThat(output).last().isEqualTo("exit 78");
        output.remove("1 fault");
        assertThat(output).hasSize(2).first().asString().contains("more memory");
    }

    /** Returns the output of the program and its exit code. */
    private static List<String> run(String heap, Path config, String... words) throws Exception {
        Process process = AtSize.process(heap, config, words).start();
        List<String> output = new ArrayList<>(
                new String(process.getInputStream().readAllBytes()).lines().toList());
        output.add("exit " + process.waitFor());
        return output;
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{'Name': 'tenant-17'}|Parties[100].Name is told twice, first by element 17 on line 34: tenant-17",
                "{'Name': ''}|Parties[100].Name has 0 bytes; allowed are 1 to 1024",
                "{'Name': '64KiB'}|Parties[100].Name has 65536 bytes; allowed are 1 to 1024",
                "{'Name': '\\ud83c'}|Parties[100].Name holds half a character",
                "{'Name': 7}|Parties[100].Name is missing or not text: 7",
                "{'Name': 'x', 'QuotaPerS': -1}|Parties[100].QuotaPerS is -1.0, not from 0.0 to 1.0E9",
                "{'Name': 'x', 'QuotaPerS': 1e400}|Parties[100].QuotaPerS is Infinity, not from 0.0 to 1.0E9",
                "{'Name': 'x', 'QuotaPerS': 'NaN'}|Parties[100].QuotaPerS is missing or not a number: NaN; allowed is",
                "{'Name': 'x', 'QuotaPerS': NaN}|117: is not a JSON object: Non-standard token 'NaN'",
                "['x']|Parties[100] is not an object: a list",
                "5|Parties[100] is not an object: 5"
            })
    void faultyTenantAmongManyIsNamedWithItsLocation(String faulty, String message) throws IOException {
        String tenant = faulty.replace('\'', '"').replace("64KiB", "n".repeat(64 << 10));
        Path config = config(Stream.of(tenants(100), Stream.of(tenant), Stream.of("{\"Name\": \"last\"}"))
                .flatMap(one -> one));
        assertThat(faults(config)).hasSize(1);
        assertThat(faults(config).get(0)).startsWith(config + ":117: ").contains(message);
    }

    @Test
    void quotaOfZeroEqualsAnAbsentOne() throws IOException {
        var site = load(config("[{\"Name\": \"a\", \"QuotaPerS\": 0}, {\"Name\": \"b\"}]"), null)
                .server()
                .site();
        assertThat(site.settings().tenants()).containsExactly(new Tenant(0), new Tenant(0));
    }

    @Test
    void firstOfManyFaultsAreKeptAndTheRestCounted() throws IOException {
        Path config = config(tenants(TENANTS).map(one -> one.replace("QuotaPerS\": ", "QuotaPerS\": -1")));
        assertThatThrownBy(() -> load(config, null))
                .isInstanceOfSatisfying(JsonFields.InvalidValueException.class, e -> {
                    assertThat(e.messages()).hasSize(ConfigProblems.MAX_KEPT);
                    assertThat(e.count()).isEqualTo(TENANTS);
                })
                .hasMessageEndingWith("(and 99999 more; 'check' names the first 100)");
    }

    @Test
    void valueThatIsNoListOrTooLongIsRejected() throws IOException {
        assertThat(faults(config("{\"Name\": \"x\"}")))
                .singleElement()
                .asString()
                .contains("Parties is not a list: an object");
        assertThat(faults(config(tenants((1 << 18) + 1))))
                .singleElement()
                .asString()
                .endsWith("settings.Parties has more than 262144 elements");
        Path operator = Files.writeString(
                dir.resolve("operator.json"), "{\"vars\": [" + "\"x\",\n".repeat(100_000) + "\"x\"]}");
        assertThatThrownBy(() -> load(config("[]"), operator))
                .hasMessageContaining(
                        "the settings take over 4194304 bytes up to here; only uwsgi.routes may be large");
    }

    @Test
    void unknownTenantOfARouteIsReportedBriefly() throws IOException {
        Path operator = Files.writeString(dir.resolve("operator.json"), """
            {"uwsgi": {"listen": "127.0.0.1:0", "routes": [
              {"match": "prefix", "path": "/", "routes": [{"match": "exact", "path": "/x", "tenant": "nobody"}]}]}}
            """);
        assertThatThrownBy(() -> load(config(tenants(TENANTS)), operator))
                .hasMessageContaining(":2: uwsgi.routes[0].routes[0].tenant is none of [tenant-0, tenant-1, ")
                .hasMessageEndingWith("tenant-7] and 99992 more: nobody");
    }

    @Test
    void truncatedFileIsRejected() throws IOException {
        Path config = config(tenants(TENANTS));
        String whole = Files.readString(config);
        Files.writeString(config, whole.substring(0, whole.length() / 2));
        assertThat(faults(config)).singleElement().asString().contains("is not a JSON object: Unexpected end-of-input");
    }

    /** A file that is written over in place, or cut, while it is read is not taken for one of its two states. */
    @ParameterizedTest
    @CsvSource({"TRUNCATE_EXISTING, is not a JSON object", "APPEND, was changed while it was read"})
    void fileChangedWhileItIsReadIsRejected(StandardOpenOption how, String message) throws IOException {
        Path config = config(tenants(TENANTS));
        ListReader changing = new TenantChange(config, how);
        assertThatThrownBy(() -> JsonFile.read(config, Map.of("settings.Parties", () -> changing)))
                .isInstanceOf(JsonFields.InvalidValueException.class)
                .hasMessageContaining(message);
    }

    /** Changes the file as soon as its first tenant is read. */
    private record TenantChange(Path file, StandardOpenOption how) implements ListReader {
        @Override
        public int maxElements() {
            return TENANTS;
        }

        @Override
        public void read(int index, JsonFields element) {
            try {
                if (index == 0) {
                    Files.writeString(file, "\n", how);
                }
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}
