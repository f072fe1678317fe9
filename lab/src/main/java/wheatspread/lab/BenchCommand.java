package wheatspread.lab;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.options.Options;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import wheatspread.lab.bench.BenchmarkResult;
import wheatspread.lab.bench.BenchmarkSeries;
import wheatspread.lab.report.Report;

/** Runs the JMH benchmarks of the server's data structures and their plain alternatives. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description = "Runs the JMH benchmarks whose names match a pattern.")
final class BenchCommand implements Callable<Integer> {
    @Parameters(
            arity = "0..1",
            defaultValue = ".*",
            description = "Regular expression on benchmark names (${DEFAULT-VALUE}).")
    private String pattern;

    @Option(names = "--name", defaultValue = "bench", description = "Name of the report (${DEFAULT-VALUE}).")
    private String name;

    @Option(
            names = "--millis",
            defaultValue = "500",
            description = "Duration of an iteration in milliseconds (${DEFAULT-VALUE}).")
    private long millis;

    @Option(names = "--out", defaultValue = "docs/measurements", description = "Folder of the report.")
    private Path out;

    @Override
    public Integer call() throws Exception {
        Options options = new OptionsBuilder()
                .include(pattern)
                .forks(1)
                .warmupIterations(3)
                .warmupTime(TimeValue.milliseconds(millis))
                .measurementIterations(5)
                .measurementTime(TimeValue.milliseconds(millis))
                .addProfiler(GCProfiler.class)
                .build();
        List<BenchmarkResult> results =
                new Runner(options).run().stream().map(BenchmarkResult::of).toList();
        Report report = new Report(name);
        results.forEach(result -> report.put(result.part(), result.figures()));
        BenchmarkSeries.of(results).forEach(report::add);
        report.write(out);
        return 0;
    }
}
