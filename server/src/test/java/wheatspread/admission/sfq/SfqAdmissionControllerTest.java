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

/** Tests the checks of settings, and that the deployment file lists the files of the decision logic. */
class SfqAdmissionControllerTest {
    @Test
    void errorNamesInvalidSetting() {
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
    void deploymentFileListsEveryDecisionFile() throws Exception {
        String deployment = Files.readString(Path.of("../deploy/balancer.toml"));
        String policyLine = deployment
                .lines()
                .filter(line -> line.startsWith("policy = "))
                .findFirst()
                .orElseThrow();
        List<Path> listedFiles = Pattern.compile("\"([^\"]+)\"")
                .matcher(policyLine)
                .results()
                .map(match -> Path.of("..", match.group(1)))
                .toList();
        for (Path file : listedFiles) {
            assertThat(Files.readAllLines(file)).as(file.toString()).hasSizeLessThanOrEqualTo(400);
        }
        try (Stream<Path> files = Files.list(Path.of("src/main/java/wheatspread/admission/sfq"))) {
            assertThat(files.map(Path::getFileName))
                    .as("files listed under policy")
                    .containsExactlyInAnyOrderElementsOf(
                            listedFiles.stream().map(Path::getFileName).toList());
        }
    }
}
