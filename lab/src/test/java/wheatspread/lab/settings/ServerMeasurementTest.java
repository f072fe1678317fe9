package wheatspread.lab.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import wheatspread.lab.Sites;

/** Measures real server processes of small sizes and checks the figures. */
class ServerMeasurementTest {
    private static final String JAVA =
            Path.of(System.getProperty("java.home"), "bin", "java").toString();
    private static final List<String> SERVE = List.of(
            JAVA,
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xmx48m",
            "-jar",
            "../server/target/wheatspread.jar",
            "serve");
    private static final ServerMeasurement.Load LOAD = new ServerMeasurement.Load(66, 1_000, 2, 1);

    @Test
    @Timeout(60)
    void countsEveryReloadAndRefusesInvalidFile() throws Exception {
        JSONObject figures = new ServerMeasurement(SERVE, LOAD).measureTenants(200, 20);
        assertThat(figures.getJSONArray("faults").toList()).isEmpty();
        assertThat(figures.optQuery("/start/started")).isEqualTo(true);
        assertThat(figures.optQuery("/reload/one_by_one/taken")).isEqualTo(2L);
        assertThat(figures.optQuery("/reload/burst/taken")).isEqualTo(2L);
        assertThat(figures.optQuery("/reload/wrong_file/refused")).isEqualTo(true);
        assertThat((String) figures.optQuery("/reload/wrong_file/message"))
                .contains("reload_rejected")
                .doesNotContain(System.getProperty("java.io.tmpdir"));
        assertThat(((Number) figures.optQuery("/delay/served")).longValue()).isPositive();
        assertThat(((Number) figures.optQuery("/reload/peak_resident_bytes")).longValue())
                .isPositive();
    }

    @Test
    @Timeout(60)
    void measuresDelayOnUwsgiFront() throws Exception {
        JSONObject figures = new ServerMeasurement(SERVE, LOAD).measureRoutes(200, 20);
        assertThat(figures.getJSONArray("faults").toList()).isEmpty();
        assertThat(figures.optQuery("/delay/failed")).isEqualTo(0L);
        assertThat(((Number) figures.optQuery("/delay/served")).longValue()).isPositive();
    }

    @Test
    @Timeout(60)
    void reportsExitCodeOfServerThatDoesNotStart() throws Exception {
        JSONObject figures = new ServerMeasurement(List.of(JAVA, "-cp", ".", "NoServer"), LOAD).measureTenants(1, 1);
        assertThat(figures.optQuery("/start/started")).isEqualTo(false);
        assertThat(figures.optQuery("/start/seconds")).isNull();
        assertThat(figures.optQuery("/start/exit_code")).isEqualTo(1);
        assertThat(figures.getJSONArray("faults").toList()).hasSize(1);
    }

    @Test
    void countsLateAndMissingAnswers() {
        Sites.Kind kind = Sites.KINDS.get(0);
        long deadlineNanos = kind.deadlineMillis() * 1_000_000L;
        AnswerTimes times = new AnswerTimes();
        for (int i = 0; i < 3; i++) {
            times.recordRequest();
        }
        times.recordAnswer(0, 1_000_000, kind, LoadClients.Outcome.SERVED, new TimedKernel.Run(200_000, 700_000));
        assertThat(times.addedMillis(50)).isBetween(0.499, 0.501);
        times.recordAnswer(0, deadlineNanos + 100_000_000, kind, LoadClients.Outcome.REFUSED, null);
        assertThat(times.lateOrLost()).isEqualTo(2);
    }
}
