package wheatspread.lab;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import org.json.JSONObject;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wheatspread.lab.load.ConnectionHolder;

/** Holds idle connections; reads a command on each line of standard input and answers with a line of JSON. */
@Command(
        name = "hold",
        hidden = true,
        mixinStandardHelpOptions = true,
        description = "Holds idle connections and executes the commands open, burst and closing from standard input.")
final class HoldCommand implements Callable<Integer> {
    @Option(names = "--port", required = true)
    private int port;

    @Option(names = "--count", required = true)
    private int count;

    @Option(names = "--uwsgi")
    private boolean uwsgi;

    @Option(names = "--first-source")
    private int firstSourceIndex;

    @Override
    public Integer call() throws Exception {
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        try (ConnectionHolder holder = new ConnectionHolder(port, uwsgi, firstSourceIndex)) {
            for (String command = in.readLine(); command != null; command = in.readLine()) {
                JSONObject figures = switch (command) {
                    case "open" -> holder.open(count);
                    case "burst" -> holder.sendBurst();
                    case "closing" -> holder.awaitClosed(60);
                    default ->
                        new JSONObject()
                                .put("error", "unknown command " + command + "; expected open, burst or closing");
                };
                System.out.println(figures);
            }
        }
        return 0;
    }
}
