package wheatspread.nginx;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wheatspread.config.OperatorConfig;
import wheatspread.config.UwsgiConfig;
import wheatspread.core.DeploymentSettings;

class ImporterTest {
    private static final Path FOLDER = Path.of("src/test/resources/nginx");

    @TempDir
    Path folder;

    @Test
    void locationsBecomeRoutesAndTheRestIsReported() throws IOException {
        Importer.Result result = Importer.read(FOLDER.resolve("site.conf"), "10.0.0.2:3031");
        JSONObject wanted = new JSONObject(Files.readString(FOLDER.resolve("site.json")));
        assertThat(result.file().similar(wanted)).as(result.file().toString(1)).isTrue();
        List<String> report = result.report().stream()
                .map(line -> line.replace(FOLDER + "/", ""))
                .toList();
        assertThat(report).containsExactlyElementsOf(Files.readAllLines(FOLDER.resolve("site.expected")));
    }

    @Test
    void whatIsWrittenIsAnOperatorsFile() throws IOException {
        Path written = folder.resolve("operator.json");
        Files.writeString(
                written, Importer.read(FOLDER.resolve("site.conf"), null).file().toString());
        DeploymentSettings site =
                new DeploymentSettings(null, List.of("search", "save-plan"), List.of("school-feeding"), List.of());
        UwsgiConfig config = OperatorConfig.readFile(written, site).uwsgi();
        assertThat(config.maxConnections()).isEqualTo(120);
        assertThat(config.routes()).hasSize(7);
        assertThat(config.routes().get(3).routes()).hasSize(1);
        assertThat(config.routes().get(1).defaults().timeoutMicros()).isEqualTo(14_000_000);
    }

    @Test
    void withoutAnAddressTheFirstServerThatIsUpIsTaken() {
        JSONObject file = Importer.read(FOLDER.resolve("site.conf"), null).file();
        assertThat(file.getJSONObject("uwsgi").get("listen")).isEqualTo("10.0.0.2:3031");
    }

    @Test
    void whatIsNoConfigurationIsNamedWithItsLine() throws IOException {
        fails("server {\n location / {", ":2: this block is not closed");
        fails("a;\n}", ":2: unexpected \"}\"");
        fails("a b", ":1: \"a\" is not ended by \";\" or a block");
        fails("\na 'b;", ":2: this quote is not closed");
        fails("include x.conf;", ":1: includes go round in a circle");
        fails("http {}", ":1: no location passes to a server that this program could be");
    }

    private void fails(String text, String complaint) throws IOException {
        Path file = folder.resolve("x.conf");
        Files.writeString(file, text);
        assertThatThrownBy(() -> Importer.read(file, null)).hasMessageContaining("x.conf" + complaint);
    }
}
