package wheatspread.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.RejectedExecutionException;
import wheatspread.config.Fields;
import wheatspread.config.OperatorConfig;
import wheatspread.config.ServerConfig;
import wheatspread.nginx.Importer;
import wheatspread.sim.BenchLink;

/**
 * Command line: {@code serve} runs the server, with a second front if an operator's file is named;
 * {@code benchlink} speaks the simulator's wire; {@code import-nginx} writes an operator's file.
 */
public final class Main {
    private static final String USAGE = "usage: java -jar wheatspread.jar serve [OPERATOR_FILE] | benchlink"
        + " | import-nginx NGINX_CONF OPERATOR_FILE [HOST:PORT]";

    /** EX_SOFTWARE of sysexits.h. */
    private static final int LOOP_ENDED = 70;

    private Main() { }

    public static void main(String[] args) throws IOException, InterruptedException {
        String command = args.length == 0 ? "" : args[0];
        if (command.equals("serve") && args.length <= 2) {
            serve(args.length == 2 ? args[1] : null);
        } else if (command.equals("benchlink") && args.length == 1) {
            benchlink();
        } else if (command.equals("import-nginx") && (args.length == 3 || args.length == 4)) {
            importNginx(Path.of(args[1]), Path.of(args[2]), args.length == 4 ? args[3] : null);
        } else {
            exit(2, USAGE);
        }
    }

    private static void benchlink() throws IOException {
        try {
            new BenchLink(System.in, System.out).serve();
        } catch (BenchLink.BadInput e) {
            exit(1, "wheatspread: " + e.getMessage());
        }
    }

    private static void serve(String operatorFile) throws InterruptedException {
        try {
            ServerConfig config = ServerConfig.fromEnvironment(System.getenv());
            OperatorConfig operator = operatorFile == null ? OperatorConfig.NONE
                : OperatorConfig.readFile(Path.of(operatorFile), config.site());
            Server server = new Server(config, operator, (loop, turns) -> new LoopClock(turns), Main::log);
            // SIGHUP says that the configuration was replaced
            Hangup.handle(() -> server.reload(() -> ServerConfig.fromEnvironment(System.getenv())));
            log("rehearsed " + new Rehearsal(config.site()).play(Rehearsal.LONGEST_NS) + " requests");
            server.start();
            // SIGTERM is the notice to leave: the JVM waits for this hook, which waits for the drain
            Runtime.getRuntime().addShutdownHook(new Thread(() -> leave(server), "drain"));
            if (!server.awaitStopped()) {
                System.err.println("wheatspread: the event loop ended");
                Runtime.getRuntime().halt(LOOP_ENDED);
            }
        } catch (Fields.BadValue e) {
            exit(1, "wheatspread: configuration: " + e.getMessage());
        } catch (IllegalArgumentException e) {
            exit(1, "wheatspread: configuration: settings: " + e.getMessage());
        } catch (Exception e) {
            exit(1, "wheatspread: " + e.getMessage());
        }
    }

    /** Writes the operator's file, and on standard error what could not be carried over. */
    private static void importNginx(Path conf, Path file, String listen) throws IOException {
        try {
            Importer.Result result = Importer.read(conf, listen);
            result.report().forEach(System.err::println);
            Files.writeString(file, result.file().toString(2) + "\n");
        } catch (IllegalArgumentException e) {
            exit(1, "wheatspread: " + e.getMessage());
        }
    }

    private static void leave(Server server) {
        boolean inOrder = false;
        try {
            server.drain();
            inOrder = server.awaitStopped();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RejectedExecutionException e) {
            log("the event loop ended before the notice to leave");
        }
        Runtime.getRuntime().halt(inOrder ? 0 : LOOP_ENDED); // an end that was asked for is no failure
    }

    private static void log(String text) {
        System.err.println(System.currentTimeMillis() + " " + text);
    }

    private static void exit(int code, String message) {
        System.err.println(message);
        System.exit(code);
    }
}
