package wheatspread.lab;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;
import org.json.JSONObject;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wheatspread.lab.deployments.Deployment;
import wheatspread.lab.deployments.DeploymentRun;
import wheatspread.lab.report.Report;

/** Deployments drawn over all that may differ or be absent, each with a server and a short load. */
@Command(
        name = "deployments",
        mixinStandardHelpOptions = true,
        description = "Draws deployments, starts a server of each on real sockets with stand-ins round it, and "
                + "holds the four rules under a short load on a clock of its own.",
        footer = {
            "",
            "Exit codes: 0 all rules held in all, 1 one was broken, which is told with its seed.",
            "Example: deployments --count 1000 --seed 1 --report docs/measurements"
        })
final class DeploymentsCommand implements Callable<Integer> {
    @Option(names = "--count", defaultValue = "25", description = "How many (${DEFAULT-VALUE}).")
    private int count;

    @Option(names = "--seed", defaultValue = "1", description = "Seed of the first (${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--report", paramLabel = "DIR", description = "Where a report goes; none without.")
    private Path out;

    @Override
    public Integer call() throws Exception {
        Map<Long, List<String>> broken = new TreeMap<>();
        AtomicInteger played = new AtomicInteger();
        LongStream.range(seed, seed + count).parallel().forEach(one -> {
            Deployment site = Deployment.drawn(one);
            List<String> rules;
            try (DeploymentRun run = new DeploymentRun(site, one, DeploymentRun.Mutation.NONE)) {
                rules = run.run();
            } catch (Exception e) {
                rules = List.of(e.toString());
            }
            played.incrementAndGet();
            if (!rules.isEmpty()) {
                System.out.println("seed " + one + ": " + site + "\n  "
                        + String.join("\n  ", rules.subList(0, Math.min(5, rules.size()))));
                synchronized (broken) {
                    broken.put(one, rules);
                }
            }
        });
        System.out.println(played + " deployments from seed " + seed + ", rules broken in " + broken.size());
        if (out != null) {
            Report report = new Report("deployments-drawn");
            report.put(
                    "drawn",
                    new JSONObject()
                            .put("seed", seed)
                            .put("deployments", played.get())
                            .put("broken", broken.size())
                            .put("seeds", broken.keySet()));
            report.write(out);
        }
        return broken.isEmpty() ? 0 : 1;
    }
}
