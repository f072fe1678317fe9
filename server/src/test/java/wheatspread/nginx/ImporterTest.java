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
    void convertsLocationsToRoutesAndReportsOtherDirectives() throws IOException {
        Importer.Result result = Importer.convert(FOLDER.resolve("site.conf"), "10.0.0.2:3031");
        JSONObject expected = new JSONObject(Files.readString(FOLDER.resolve("site.json")));
        assertThat(result.file().similar(expected))
                .as(result.file().toString(1))
                .isTrue();
        List<String> report = result.report().stream()
                .map(line -> line.replace(FOLDER + "/", ""))
                .toList();
        assertThat(report).containsExactlyElementsOf(Files.readAllLines(FOLDER.resolve("site.expected")));
    }

    @Test
    void writesAValidOperatorFile() throws IOException {
        Path written = folder.resolve("operator.json");
        Files.writeString(
                written,
                Importer.convert(FOLDER.resolve("site.conf"), null).file().toString());
        DeploymentSettings site =
                new DeploymentSettings(null, List.of("search", "save-plan"), List.of("school-feeding"), List.of());
        UwsgiConfig config = OperatorConfig.readFile(written, site).uwsgi();
        assertThat(config.maxConnections()).isEqualTo(120);
        assertThat(config.routes()).hasSize(7);
        assertThat(config.routes().get(3).routes()).hasSize(1);
        assertThat(config.routes().get(1).defaults().timeoutMicros()).isEqualTo(14_000_000);
    }

    @Test
    void selectsFirstServerThatIsNotDownWithoutAnAddress() {
        JSONObject file = Importer.convert(FOLDER.resolve("site.conf"), null).file();
        assertThat(file.getJSONObject("uwsgi").get("listen")).isEqualTo("10.0.0.2:3031");
    }

    @Test
    void reportsLineOfInvalidConfiguration() throws IOException {
        assertInvalid("server {\n location / {", ":2: block is not closed by \"}\"");
        assertInvalid("a;\n}", ":2: unexpected \"}\", expected a directive");
        assertInvalid("a b", ":1: \"a\" is not followed by \";\" or a block");
        assertInvalid("\na 'b;", ":2: quoted word is not closed by '");
        assertInvalid("include x.conf;", ":1: includes are nested more than 10 deep, probably in a cycle");
        assertInvalid("http {}", ":1: no location passes requests to a server that has a TCP address and is not down");
    }

    private void assertInvalid(String text, String message) throws IOException {
        Path file = folder.resolve("x.conf");
        Files.writeString(file, text);
        assertThatThrownBy(() -> Importer.convert(file, null)).hasMessageContaining("x.conf" + message);
    }
}
