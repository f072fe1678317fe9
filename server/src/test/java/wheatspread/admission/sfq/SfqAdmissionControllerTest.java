package wheatspread.admission.sfq;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import wheatspread.admission.ClientSettings;
import wheatspread.admission.Idempotency;
import wheatspread.admission.LoadFeedbackMode;

/** The settings and the files of the decision logic. */
class SfqAdmissionControllerTest {
    @Test
    void namesInvalidSettings() {
        assertThatThrownBy(() -> TestSettings.settings(
                        false,
                        -1,
                        0,
                        TestSettings.TWO_TENANTS,
                        TestSettings.requestClass(1, 2, Idempotency.IDEMPOTENT, 0, 0)))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("memoryKb");
        assertThatThrownBy(() -> TestSettings.requestClass(3, 2, Idempotency.IDEMPOTENT, 0, 0))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("aim");
        assertThatThrownBy(() -> TestSettings.requestClass(1, 2, Idempotency.IDEMPOTENCY_KEY, 1.5, 0))
                .hasMessageContaining("lateWorth");
        assertThatThrownBy(() -> TestSettings.requestClass(1, 2, Idempotency.IDEMPOTENCY_KEY, 0, 1.5))
                .hasMessageContaining("skipWorth");
        assertThatThrownBy(() -> new ClientSettings(1, LoadFeedbackMode.NONE, 0, 0, true, -1, 0, 0))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("idle");
        assertThatThrownBy(() -> TestSettings.requestClass(1, 2, null, 0, 0))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("effect");
    }

    @Test
    void deployFileNamesEveryDecisionFile() throws Exception {
        String deploy = Files.readString(Path.of("../deploy/balancer.toml"));
        String policy = deploy.lines()
                .filter(line -> line.startsWith("policy = "))
                .findFirst()
                .orElseThrow();
        List<Path> named = Pattern.compile("\"([^\"]+)\"")
                .matcher(policy)
                .results()
                .map(match -> Path.of("..", match.group(1)))
                .toList();
        for (Path file : named) {
            assertThat(Files.readAllLines(file)).as(file.toString()).hasSizeLessThanOrEqualTo(400);
        }
        try (Stream<Path> files = Files.list(Path.of("src/main/java/wheatspread/admission/sfq"))) {
            assertThat(files.map(Path::getFileName))
                    .as("all decision files are named")
                    .containsExactlyInAnyOrderElementsOf(
                            named.stream().map(Path::getFileName).toList());
        }
    }
}
