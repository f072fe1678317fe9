package wheatspread.sim;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class BenchLinkTest {
    private static String exchange(String input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new BenchLink(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out).serve();
        return out.toString(StandardCharsets.UTF_8);
    }

    private static String recordedInput() throws IOException {
        return Files.readString(Path.of("src/test/resources/exchange.jsonl"));
    }

    @Test
    void answersEachBatchWithOneLine() throws IOException {
        String[] replies = exchange(recordedInput()).split("\n");
        assertThat(replies).hasSize((int) recordedInput().lines().count());
        assertThat(replies[0]).isEqualTo("{\"parts\":[]}");
        assertThat(replies[1]).contains("\"WorkerId\":4", "\"m\":\"ReportHealth\",\"Want\":true,\"Stored\":true");
        assertThat(replies[2]).contains("{\"m\":\"Pin\",\"Tid\":14,", "{\"m\":\"Execute\",\"Tid\":11}");
        assertThat(replies[3]).isEqualTo("{\"parts\":[{\"WorkerId\":4,\"cmds\":[{\"m\":\"Join\",\"Tid\":15}]}]}");
    }

    @Test
    void givesEqualRepliesForEqualInput() throws IOException {
        assertThat(exchange(recordedInput())).isEqualTo(exchange(recordedInput()));
    }

    @Test
    void errorNamesLineOfInvalidInput() throws IOException {
        String start = recordedInput().lines().limit(2).reduce("", (lines, line) -> lines + line + "\n");
        String part = "{\"SimTime\":101.0,\"parts\":[{\"WorkerId\":4,\"items\":[%s]}]}";
        assertThatThrownBy(() -> exchange("{\"SimTime\":")).hasMessageContaining("line 1: not JSON");
        assertThatThrownBy(() -> exchange("{}")).hasMessageContaining("SimTime");
        assertThatThrownBy(() -> exchange(String.format(part, "{\"m\":\"Exit\"}")))
                .hasMessageContaining("unknown instance 4");
        assertThatThrownBy(() -> exchange(start + String.format(part, "{\"m\":\"Completed\",\"Tid\":3}")))
                .hasMessageContaining("line 3")
                .hasMessageContaining("Rc");
        assertThatThrownBy(() -> exchange(start + String.format(part, "{\"m\":\"Accept\",\"Tid\":3}")))
                .hasMessageContaining("Band");
        assertThatThrownBy(() -> exchange(start.replace("\"NCores\": 2", "\"NCores\": 0")))
                .hasMessageContaining("cores");
    }

    @Test
    void ignoresUnknownFieldsAndSettings() throws IOException {
        assertThat(exchange("{\"SimTime\":1.0,\"Novel\":{\"x\":[1,null]},\"parts\":[]}\n"))
                .isEqualTo("{\"parts\":[]}\n");
    }
}
