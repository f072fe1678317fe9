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

/** Checks a server under a short load in randomly drawn deployments, which vary every optional part. */
@Command(
        name = "deployments",
        mixinStandardHelpOptions = true,
        description = "Draws deployments, starts a server for each on real sockets with stand-ins for its services, "
                + "and checks the four rules under a short load on a simulated clock.",
        footer = {
            "",
            "Exit codes: 0 no rule was broken, 1 a rule was broken, which is printed with the seed.",
            "Example: deployments --count 1000 --seed 1 --report docs/measurements"
        })
final class DeploymentsCommand implements Callable<Integer> {
    @Option(names = "--count", defaultValue = "25", description = "Number of deployments (${DEFAULT-VALUE}).")
    private int count;

    @Option(names = "--seed", defaultValue = "1", description = "Seed of the first deployment (${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--report", paramLabel = "DIR", description = "Folder of the report; without it none is written.")
    private Path out;

    @Override
    public Integer call() throws Exception {
        Map<Long, List<String>> brokenRulesBySeed = new TreeMap<>();
        AtomicInteger played = new AtomicInteger();
        LongStream.range(seed, seed + count).parallel().forEach(deploymentSeed -> {
            Deployment deployment = Deployment.drawn(deploymentSeed);
            List<String> brokenRules;
            try (DeploymentRun run = new DeploymentRun(deployment, deploymentSeed, DeploymentRun.Mutation.NONE)) {
                brokenRules = run.run();
            } catch (Exception e) {
                brokenRules = List.of(e.toString());
            }
            played.incrementAndGet();
            if (!brokenRules.isEmpty()) {
                System.out.println("seed " + deploymentSeed + ": " + deployment + "\n  "
                        + String.join("\n  ", brokenRules.subList(0, Math.min(5, brokenRules.size()))));
                synchronized (brokenRulesBySeed) {
                    brokenRulesBySeed.put(deploymentSeed, brokenRules);
                }
            }
        });
        System.out.println(played + " deployments from seed " + seed + ", rules broken in " + brokenRulesBySeed.size());
        if (out != null) {
            Report report = new Report("deployments-drawn");
            report.put(
                    "drawn",
                    new JSONObject()
                            .put("seed", seed)
                            .put("deployments", played.get())
                            .put("broken", brokenRulesBySeed.size())
                            .put("seeds", brokenRulesBySeed.keySet()));
            report.write(out);
        }
        return brokenRulesBySeed.isEmpty() ? 0 : 1;
    }
}
