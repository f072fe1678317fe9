package wheatspread.lab;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wheatspread.lab.scale.HollowHost;
import wheatspread.lab.scale.HollowOrder;

/** Runs the process of hollow servers that {@code scale} starts; reads an order and writes a report on each line. */
@Command(
        name = "hollow",
        hidden = true,
        mixinStandardHelpOptions = true,
        description = "Runs hollow servers on orders from standard input until its end.")
final class HollowCommand implements Callable<Integer> {
    @Option(names = "--cluster", required = true)
    private String cluster;

    @Option(names = "--seeds", required = true, split = ",")
    private List<String> seeds;

    @Option(names = "--loops", required = true)
    private int loops;

    @Option(names = "--seed", required = true)
    private long seed;

    @Override
    public Integer call() throws Exception {
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        try (HollowHost host = new HollowHost(loops, cluster, seeds, seed)) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                System.out.println(host.execute(HollowOrder.fromLine(line)).toLine());
            }
        }
        return 0;
    }
}
