package wheatspread.lab.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wheatspread.lab.report.Report;
import wheatspread.lab.report.Series;

/** Simulates small fleets in each situation of the capacity page. */
class CapacitySweepTest {
    @TempDir
    private Path folder;

    private JSONObject sweep(Duration limit) throws Exception {
        new CapacitySweep(new Report("small"), 1, limit, folder)
                .run(List.of(CapacitySweep.Situation.values()), List.of(48, 36));
        return new JSONObject(Files.readString(folder.resolve("small.json")));
    }

    private static List<Series.Point> points(JSONObject report, String name) {
        return Series.of(report).stream()
                .filter(series -> series.name().equals(name))
                .findFirst()
                .orElseThrow()
                .points();
    }

    @Test
    void reportsSeriesBySizeForEachSituation() throws Exception {
        JSONObject report = sweep(Duration.ofMinutes(1));
        assertThat(points(report, "model.messages_per_s_idle"))
                .extracting(Series.Point::size)
                .containsExactly(36.0, 48.0);
        assertThat(points(report, "model.view_s_crash"))
                .allSatisfy(point -> assertThat(point.value()).isBetween(1.0, 10.0));
        assertThat(points(report, "model.wrongly_removed_loss20"))
                .allSatisfy(point -> assertThat(point.value()).isZero());
        assertThat(points(report, "model.view_s_rack"))
                .as("6 of 36 servers are no quorum, so the value is the wait until the end of the run")
                .contains(new Series.Point(36, 15));
        for (String name : List.of("rack", "zone", "halves", "restarts_x60")) {
            assertThat(points(report, "model.bytes_per_s_" + name)).hasSize(2);
        }
    }

    @Test
    void omitsPointAndSkipsLargerSizesWhenRunExceedsLimit() throws Exception {
        JSONObject report = sweep(Duration.ZERO);
        assertThat(Series.of(report))
                .isNotEmpty()
                .allSatisfy(series -> assertThat(series.points()).isEmpty());
        assertThat(report.getJSONObject("zone, 36 members")
                        .getJSONArray("faults")
                        .toString())
                .contains("stopped at the limit");
        assertThat(report.getJSONObject("zone, 48 members").has("not_run")).isTrue();
    }
}
