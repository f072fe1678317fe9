package wheatspread.lab;

import java.nio.file.Path;
import java.util.Collection;
import java.util.concurrent.Callable;
import org.json.JSONObject;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.options.Options;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import wheatspread.lab.report.Report;

/** JMH over the structures made for the job, beside plain ones. */
@Command(name = "bench", mixinStandardHelpOptions = true, description = "Runs the JMH benchmarks that match.")
final class BenchCommand implements Callable<Integer> {
    @Parameters(arity = "0..1", defaultValue = ".*", description = "A pattern of benchmark names (${DEFAULT-VALUE}).")
    private String pattern;

    @Option(names = "--name", defaultValue = "bench", description = "The report's name (${DEFAULT-VALUE}).")
    private String name;

    @Option(names = "--millis", defaultValue = "500", description = "Length of an iteration (${DEFAULT-VALUE}).")
    private long millis;

    @Option(names = "--out", defaultValue = "docs/measurements", description = "Where the report goes.")
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
                .build();
        Collection<RunResult> results = new Runner(options).run();
        Report report = new Report(name);
        for (RunResult result : results) {
            String part = result.getParams().getBenchmark().replaceAll(".*\\.(\\w+\\.\\w+)$", "$1") + " "
                    + result.getParams().getParam("size");
            report.put(
                    part,
                    new JSONObject()
                            .put("score", result.getPrimaryResult().getScore())
                            .put("error", result.getPrimaryResult().getScoreError())
                            .put("unit", result.getPrimaryResult().getScoreUnit()));
        }
        report.write(out);
        return 0;
    }
}
