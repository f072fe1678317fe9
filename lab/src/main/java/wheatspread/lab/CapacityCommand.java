package wheatspread.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wheatspread.config.JsonFields;
import wheatspread.lab.capacity.Capacity;
import wheatspread.lab.capacity.CapacityPage;
import wheatspread.lab.capacity.CapacityPlan;
import wheatspread.lab.capacity.ReportFiles;

/** Computes the tables of the capacity page from report files. */
@Command(
        name = "capacity",
        mixinStandardHelpOptions = true,
        description = "Computes the cost of an installation of the planned size from the series of the report files, "
                + "and prints the tables of the capacity page.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:Printed or written; with --check, the page matches its reports.",
            "1:The page differs from its reports; each difference is printed on a line.",
            "64:The plan or the page is invalid; the place is printed."
        })
final class CapacityCommand implements Callable<Integer> {
    private static final int USAGE_EXIT_CODE = 64;

    @Option(
            names = "--plan",
            defaultValue = "lab/capacity/plan.json",
            description = "File of the plan (${DEFAULT-VALUE}).")
    private Path plan;

    @Option(
            names = "--reports",
            defaultValue = "docs/measurements",
            description = "Folder of the reports (${DEFAULT-VALUE}).")
    private Path reports;

    @Option(names = "--write", paramLabel = "PAGE", description = "Replaces the generated blocks of this page.")
    private Path write;

    @Option(
            names = "--check",
            paramLabel = "PAGE",
            description = "Compares the generated blocks of this page with the reports.")
    private Path check;

    @Override
    public Integer call() throws IOException {
        Map<String, List<String>> blocks;
        try {
            blocks = Capacity.of(CapacityPlan.read(plan), new ReportFiles(reports))
                    .blocks();
            if (write != null) {
                Files.write(write, new CapacityPage(Files.readAllLines(write)).with(blocks));
            }
            if (check != null) {
                List<String> differences = new CapacityPage(Files.readAllLines(check)).differences(blocks);
                differences.forEach(difference -> System.out.println(check + ", " + difference));
                return differences.isEmpty() ? 0 : 1;
            }
        } catch (JsonFields.InvalidValueException e) {
            e.messages().forEach(System.err::println);
            return USAGE_EXIT_CODE;
        } catch (IllegalArgumentException e) {
            System.err.println(e.getMessage());
            return USAGE_EXIT_CODE;
        }
        if (write == null) {
            blocks.forEach((name, block) -> System.out.println(name + "\n\n" + String.join("\n", block) + "\n"));
        }
        return 0;
    }
}
