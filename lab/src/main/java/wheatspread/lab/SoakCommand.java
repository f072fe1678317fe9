package wheatspread.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.json.JSONObject;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wheatspread.lab.soak.SoakRun;
import wheatspread.lab.world.PlantedFault;

/** Plays soak runs and reports the first broken rule of each. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description = "Plays runs of real servers under load on both fronts, with signals in series, kills, paused "
                + "processes, moved and absent services, misbehaving clients and a store under writes; each seed "
                + "draws one run. Exits with 1 if a rule was broken; takes about half a minute per seed.")
final class SoakCommand implements Callable<Integer> {
    @Option(names = "--jar", defaultValue = "server/target/wheatspread.jar", description = "Jar of the server.")
    private Path jar;

    @Option(
            names = "--deploy",
            defaultValue = "deploy/balancer.toml",
            description = "Deploy file with the JVM flags of the server.")
    private Path deploy;

    @Option(names = "--seed", defaultValue = "1", split = ",", description = "Seeds, with one run each.")
    private List<Long> seeds;

    @Option(names = "--count", defaultValue = "1", description = "Number of consecutive seeds from the first on.")
    private int count;

    @Option(names = "--minutes", defaultValue = "0", description = "Starts no run after this time; 0 for no limit.")
    private long minutes;

    @Option(names = "--plant", description = "A fault to plant: ${COMPLETION-CANDIDATES}.")
    private PlantedFault planted;

    @Option(names = "--out", description = "File to which each run is appended as a line of JSON.")
    private Path out;

    @Override
    public Integer call() throws Exception {
        List<Long> all = new ArrayList<>(seeds);
        LongStream.range(seeds.get(0) + 1, seeds.get(0) + count).forEach(all::add);
        long endNanos = minutes == 0 ? Long.MAX_VALUE : System.nanoTime() + TimeUnit.MINUTES.toNanos(minutes);
        boolean passed = true;
        for (long seed : all) {
            if (System.nanoTime() > endNanos) {
                System.out.println("soak: the time is over before seed " + seed);
                break;
            }
            passed &= play(seed);
        }
        return passed ? 0 : 1;
    }

    private boolean play(long seed) throws Exception {
        List<String> flags = planted == PlantedFault.LOOP_ENDED ? flagsWithSmallMetaspace() : DeployFile.flags(deploy);
        SoakRun.Outcome outcome = new SoakRun(jar, flags, seed, planted).run();
        System.out.println("soak seed " + seed + " " + (outcome.violations().isEmpty() ? "passed" : "FAILED") + " "
                + outcome.figures());
        if (!outcome.violations().isEmpty()) {
            System.out.println("command: java -jar lab/target/wheatspread-lab.jar soak --seed " + seed);
            System.out.println("plan: " + outcome.plan());
            System.out.println("first broken rule: " + outcome.violations().get(0));
            System.out.println("broken rules: " + outcome.violations().size());
        }
        if (out != null) {
            append(outcome);
        }
        return outcome.violations().isEmpty();
    }

    private void append(SoakRun.Outcome outcome) throws IOException {
        JSONObject line = new JSONObject()
                .put("plan", outcome.plan())
                .put("figures", outcome.figures())
                .put("violations", outcome.violations());
        Files.writeString(
                out, line + "\n", java.nio.file.StandardOpenOption.CREATE, java.nio.file.StandardOpenOption.APPEND);
    }

    /** Returns the deployed flags with a metaspace that is too small, without a class data sharing archive. */
    private List<String> flagsWithSmallMetaspace() throws IOException {
        return DeployFile.flags(deploy).stream()
                .filter(flag -> !flag.startsWith("-XX:SharedArchiveFile="))
                .map(flag -> flag.startsWith("-XX:MaxMetaspaceSize=") ? "-XX:MaxMetaspaceSize=12m" : flag)
                .toList();
    }
}
