package wheatspread.lab;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.json.JSONArray;
import org.json.JSONObject;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** Checks the committed capacity page against the committed reports, and that differences are found. */
class CapacityPageTest {
    private static final Path PAGE = Path.of("../docs/CAPACITY.md");
    private static final Path REPORTS = Path.of("../docs/measurements");
    private static final Path PLAN = Path.of("capacity/plan.json");
    private static final int MATCHES = 0;
    private static final int DIFFERS = 1;
    private static final int USAGE_ERROR = 64;

    @TempDir
    private Path folder;

    private Path page;
    private Path reports;
    private String output;

    @BeforeEach
    void copy() throws IOException {
        page = Files.copy(PAGE, folder.resolve("CAPACITY.md"));
        reports = Files.createDirectory(folder.resolve("measurements"));
        try (Stream<Path> files = Files.list(REPORTS)) {
            for (Path file :
                    files.filter(path -> path.toString().endsWith(".json")).toList()) {
                Files.copy(file, reports.resolve(file.getFileName()));
            }
        }
    }

    private int run(String mode) {
        PrintStream originalOut = System.out;
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        System.setOut(new PrintStream(written, true, StandardCharsets.UTF_8));
        try {
            return new CommandLine(new Lab())
                    .execute(
                            "capacity",
                            "--plan",
                            PLAN.toString(),
                            "--reports",
                            reports.toString(),
                            mode,
                            page.toString());
        } finally {
            System.setOut(originalOut);
            output = written.toString(StandardCharsets.UTF_8);
        }
    }

    @Test
    void committedPageMatchesCommittedReports() {
        assertThat(run("--check")).as(output).isEqualTo(MATCHES);
    }

    @Test
    void findsChangedPointOfReport() throws IOException {
        Path file = reports.resolve("capacity-model.json");
        JSONObject report = new JSONObject(Files.readString(file));
        JSONArray point = report.getJSONArray("series")
                .getJSONObject(0)
                .getJSONArray("points")
                .getJSONArray(0);
        point.put(1, point.getDouble(1) * 1.01);
        Files.writeString(file, report.toString(1));
        assertThat(run("--check")).isEqualTo(DIFFERS);
        assertThat(output).contains("the page has: ").contains("the reports give: ");
    }

    @Test
    void findsMissingReport() throws IOException {
        Files.delete(reports.resolve("idle-connections.json"));
        assertThat(run("--check")).isEqualTo(DIFFERS);
        assertThat(output).contains("not measured");
    }

    @Test
    void findsAndRestoresFiguresEditedByHand() throws IOException {
        List<String> committed = Files.readAllLines(page);
        List<Integer> rows = Stream.iterate(0, i -> i + 1)
                .limit(committed.size())
                .filter(i -> committed.get(i).matches("\\|.*\\d.*"))
                .toList();
        assertThat(rows).hasSizeGreaterThan(20);
        for (int row : List.of(rows.get(0), rows.get(rows.size() / 2), rows.get(rows.size() - 1))) {
            List<String> edited = new ArrayList<>(committed);
            edited.set(row, committed.get(row).replaceFirst("\\d", "77"));
            Files.write(page, edited);
            assertThat(run("--check")).isEqualTo(DIFFERS);
            assertThat(output.lines()).singleElement().asString().contains("line " + (row + 1) + ":");
            assertThat(run("--write")).isEqualTo(MATCHES);
            assertThat(Files.readAllLines(page)).isEqualTo(committed);
        }
    }

    @Test
    void rejectsPageWithoutMarker() throws IOException {
        Files.writeString(page, Files.readString(page).replace("<!-- capacity:end order -->", ""));
        assertThat(run("--check")).isEqualTo(USAGE_ERROR);
    }
}
