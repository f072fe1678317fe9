package wheatspread.lab;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import org.json.JSONObject;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wheatspread.lab.load.ConnectionHolder;

/**
 * The process that holds connections: it does what its standard input says, and answers a line of JSON each.
 */
@Command(
        name = "hold",
        hidden = true,
        mixinStandardHelpOptions = true,
        description = "Holds idle connections; words on standard input: open, burst, closing.")
final class HoldCommand implements Callable<Integer> {
    @Option(names = "--port", required = true)
    private int port;

    @Option(names = "--count", required = true)
    private int count;

    @Option(names = "--uwsgi")
    private boolean uwsgi;

    @Option(names = "--first-source")
    private int firstSource;

    @Override
    public Integer call() throws Exception {
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        try (ConnectionHolder holder = new ConnectionHolder(port, uwsgi, firstSource)) {
            for (String word = in.readLine(); word != null; word = in.readLine()) {
                JSONObject figures = switch (word) {
                    case "open" -> holder.open(count);
                    case "burst" -> holder.sendBurst();
                    case "closing" -> holder.awaitClosed(60);
                    default -> new JSONObject().put("error", "unknown word " + word);
                };
                System.out.println(figures);
            }
        }
        return 0;
    }
}
