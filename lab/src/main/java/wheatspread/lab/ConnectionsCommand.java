package wheatspread.lab;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wheatspread.lab.memory.MemoryConnections;
import wheatspread.lab.report.Report;
import wheatspread.scheduling.IterationBudget;

/** Measures more connections than a process has descriptors, on one event loop in memory. */
@Command(
        name = "crowd",
        mixinStandardHelpOptions = true,
        description = "Measures many connections on one event loop over an in-memory transport.")
final class ConnectionsCommand implements Callable<Integer> {
    private static final long IDLE_TIMEOUT_MICROS = 20_000_000;

    @Option(names = "--count", defaultValue = "100000", description = "Number of connections (${DEFAULT-VALUE}).")
    private int count;

    @Option(names = "--out", defaultValue = "docs/measurements", description = "Folder of the report.")
    private Path out;

    @Override
    public Integer call() throws Exception {
        Report report = new Report("idle-in-memory");
        try (MemoryConnections warmUp =
                new MemoryConnections(Math.min(count, 5_000), IterationBudget.DEFAULT, IDLE_TIMEOUT_MICROS)) {
            warmUp.measure(); // lets the JVM compile the code
        }
        try (MemoryConnections connections =
                new MemoryConnections(count, IterationBudget.DEFAULT, IDLE_TIMEOUT_MICROS)) {
            report.put("crowd", connections.measure());
        }
        System.out.println(report.get("crowd").toString(1));
        report.write(out);
        return 0;
    }
}
