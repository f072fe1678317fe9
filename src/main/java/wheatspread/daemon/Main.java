package wheatspread.daemon;

import java.io.IOException;
import wheatspread.config.Fields;
import wheatspread.config.ServerConfig;
import wheatspread.sim.BenchLink;

/** Command line: {@code serve} runs the server, {@code benchlink} speaks the simulator's wire. */
public final class Main {
    private static final String USAGE = "usage: java -jar wheatspread.jar serve | benchlink";

    private Main() { }

    public static void main(String[] args) throws IOException, InterruptedException {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "serve" -> serve();
            case "benchlink" -> benchlink();
            default -> exit(2, USAGE);
        }
    }

    private static void benchlink() throws IOException {
        try {
            new BenchLink(System.in, System.out).serve();
        } catch (BenchLink.BadInput e) {
            exit(1, "wheatspread: " + e.getMessage());
        }
    }

    private static void serve() throws InterruptedException {
        try {
            Server server = new Server(ServerConfig.fromEnvironment(System.getenv()), Main::log);
            server.start();
            // SIGTERM is the notice to leave: the JVM waits for this hook, which waits for the drain
            Runtime.getRuntime().addShutdownHook(new Thread(() -> leave(server), "drain"));
            server.awaitStopped();
        } catch (Fields.BadValue e) {
            exit(1, "wheatspread: configuration: " + e.getMessage());
        } catch (IllegalArgumentException e) {
            exit(1, "wheatspread: configuration: settings: " + e.getMessage());
        } catch (Exception e) {
            exit(1, "wheatspread: cannot start: " + e.getMessage());
        }
    }

    private static void leave(Server server) {
        server.drain();
        try {
            server.awaitStopped();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(0); // the end was asked for, so it is no failure
    }

    private static void log(String text) {
        System.err.println(System.currentTimeMillis() + " " + text);
    }

    private static void exit(int code, String message) {
        System.err.println(message);
        System.exit(code);
    }
}
