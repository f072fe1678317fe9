package wheatspread.lab.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wheatspread.config.JsonFile;

/** Computes figures, bases, ratios and their order from a small plan and a small report. */
class CapacityTest {
    private static final String HEAD = """
        {"quantities": [
            {"name": "members", "value": 1400, "unit": "servers", "text": "servers"},
            {"name": "zones", "value": 8, "unit": "zones", "text": "zones", "fixed": true}],
         "budgets": [
            {"name": "bytes", "value": 1000, "unit": "bytes/s", "text": "sent"}],
         "assumed": [
            {"name": "tenant_bytes", "value": 50, "unit": "bytes", "because": "a guess"}],
         "lines": [
            {"name": "sent", "report": "one.json", "series": "sent.bytes", "fit": "linear", "at": "members"},
            {"name": "played", "report": "one.json", "series": "played.bytes", "fit": "proportional", "at": "members",
             "virtual": true},
            {"name": "single", "report": "one.json", "unit": "KB", "fit": "constant", "at": "members",
             "figures": [{"size": 20, "keys": ["with", "heap_kb"]}]},
            {"name": "absent", "report": "two.json", "series": "sent.bytes", "fit": "linear", "at": "members"}],
        """;
    private static final String REPORT = """
        {"command": "lab one --report /some/where lab/a.json", "with": {"heap_kb": 3.5}, "series": [
            {"name": "sent.bytes", "unit": "bytes/s", "per": "members", "points": [[100, 210], [200, 410]]},
            {"name": "played.bytes", "unit": "bytes/s", "per": "members", "points": [[700, 350]]}]}
        """;

    @TempDir
    private Path folder;

    @BeforeEach
    void writeReport() throws Exception {
        Files.writeString(folder.resolve("one.json"), REPORT);
    }

    private static String row(String what, String value) {
        return "{\"role\": \"server\", \"situation\": \"peak\", \"what\": \"" + what + "\", \"unit\": \"bytes/s\", "
                + "\"mechanism\": [\"membership.Membership\"], \"budget\": \"bytes\", \"value\": \"" + value + "\"}";
    }

    private static CapacityPlan plan(String... rows) {
        return CapacityPlan.read(JsonFile.read("test.json", HEAD + "\"rows\": [" + String.join(",", rows) + "]}"));
    }

    private Capacity capacity(String... rows) throws Exception {
        return Capacity.of(plan(rows), new ReportFiles(folder));
    }

    private Figure figure(String value) throws Exception {
        return capacity(row("one", value)).rows().get(0).figure();
    }

    @Test
    void evaluatesLineAtFullSizeAndTenth() throws Exception {
        Figure sent = figure("sent");
        assertThat(sent.full()).isCloseTo(2810, within(1e-9));
        assertThat(sent.tenth()).isCloseTo(290, within(1e-9));
        assertThat(sent.stretch()).isEqualTo(7);
        assertThat(sent.basis()).isEqualTo(Basis.MEASURED);
    }

    @Test
    void formulaHasWeakestBasisAndLargestStretchOfItsParts() throws Exception {
        Figure sum = figure("sent + played");
        assertThat(sum.basis()).isEqualTo(Basis.VIRTUAL);
        assertThat(sum.stretch()).isEqualTo(7);
        assertThat(sum.full()).isCloseTo(2810 + 700, within(1e-9));
        assertThat(figure("played + tenant_bytes").basis()).isEqualTo(Basis.ASSUMED);
        assertThat(figure("members / zones").tenth()).isEqualTo(17.5);
        assertThat(figure("single * 1024").full()).isEqualTo(3584);
    }

    @Test
    void figureWithoutReportIsNotMeasured() throws Exception {
        Capacity capacity = capacity(row("one", "sent + absent"), row("two", "sent"));
        assertThat(capacity.rows().get(0).figure()).isEqualTo(Figure.NOT_MEASURED);
        assertThat(capacity.rowsByRatio())
                .extracting(row -> row.plan().description())
                .containsExactly("two");
        assertThat(String.join("\n", capacity.blocks().get("unmeasured")))
                .contains("`sent.bytes` of two.json")
                .contains("one")
                .doesNotContain("two |");
        Files.writeString(folder.resolve("two.json"), REPORT.replace("[100, 210], ", ""));
        assertThat(capacity(row("one", "absent")).rows().get(0).isMeasured())
                .as("one point is too few for a linear fit")
                .isFalse();
    }

    @Test
    void replacesAbsolutePathsInCommands() throws Exception {
        assertThat(capacity(row("one", "sent")).blocks().get("commands"))
                .contains("| one.json | `lab one --report DIR lab/a.json` |");
    }

    @Test
    void ordersRowsByRatioOfFigureToBudget() throws Exception {
        Capacity capacity = capacity(
                row("least", "tenant_bytes"), row("most", "sent"), row("middle", "played"), row("no", "absent"));
        assertThat(capacity.rowsByRatio())
                .extracting(row -> row.plan().description())
                .containsExactly("most", "middle", "least");
        assertThat(capacity.rowsByRatio().get(0).ratio(Scale.FULL)).isCloseTo(2.81, within(1e-12));
        assertThat(capacity.rowsByRatio().get(0).ratio(Scale.TENTH)).isCloseTo(0.29, within(1e-12));
    }

    @Test
    void rejectsInvalidPlanNamingTheKey() {
        for (String[] planAndMessage : new String[][] {
            {row("one", "nothing"), "rows[0].value names nothing"},
            {row("one", "1 +"), "rows[0].value cannot be read"},
            {row("one", "1").replace("Membership", "Memory"), "does not exist: wheatspread.membership.Memory"},
            {row("one", "1").replace("\"budget\": \"bytes\"", "\"budget\": \"time\""), "rows[0].budget is none of"},
            {row("one", "1").replace("[\"membership.Membership\"]", "[]"), "rows[0].mechanism is empty"}
        }) {
            assertThatThrownBy(() -> plan(planAndMessage[0])).hasMessageContaining(planAndMessage[1]);
        }
        assertThat(plan(row("one", "1").replace("membership.Membership", "missing"))
                        .rows())
                .singleElement()
                .satisfies(row -> assertThat(row.mechanism()).isEqualTo(List.of()));
    }
}
