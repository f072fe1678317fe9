package wheatspread.lab;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wheatspread.lab.memory.MemoryCrowd;
import wheatspread.lab.report.Report;
import wheatspread.scheduling.IterationBudget;

/** More connections than a process has descriptors, on one loop in memory. */
@Command(
        name = "crowd",
        mixinStandardHelpOptions = true,
        description = "Measures a crowd of connections on one event loop over a transport in memory.")
final class CrowdCommand implements Callable<Integer> {
    private static final long IDLE = 20_000_000;

    @Option(names = "--count", defaultValue = "100000", description = "Connections (${DEFAULT-VALUE}).")
    private int count;

    @Option(names = "--out", defaultValue = "docs/measurements", description = "Where the report goes.")
    private Path out;

    @Override
    public Integer call() throws Exception {
        Report report = new Report("idle-in-memory");
        try (MemoryCrowd warming = new MemoryCrowd(Math.min(count, 5_000), IterationBudget.DEFAULT, IDLE)) {
            warming.play(); // the JVM compiles meanwhile
        }
        try (MemoryCrowd crowd = new MemoryCrowd(count, IterationBudget.DEFAULT, IDLE)) {
            report.put("crowd", crowd.play());
        }
        System.out.println(report.get("crowd").toString(1));
        report.write(out);
        return 0;
    }
}
