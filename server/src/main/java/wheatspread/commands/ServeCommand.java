package wheatspread.commands;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import wheatspread.config.Configuration;
import wheatspread.config.JsonFields;
import wheatspread.config.LogConfig;
import wheatspread.config.OperatorConfig;
import wheatspread.config.ServerConfig;
import wheatspread.daemon.EventLoopClock;
import wheatspread.daemon.ProcessMarkerFiles;
import wheatspread.daemon.Server;
import wheatspread.daemon.SignalHandlers;
import wheatspread.lifecycle.Lifecycle.Event;
import wheatspread.logging.EventLog;
import wheatspread.logging.LogSetup;
import wheatspread.logging.RepeatLimit;
import wheatspread.logging.StructuredLog;

/** Runs one server until it has drained. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = {
            "Runs one server. GW_CONFIG names its settings file; GW_NAME and GW_LISTEN override its settings.",
            "SIGTERM or SIGINT drains it, a second SIGINT ends the grace period, SIGHUP reloads the settings."
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:The server drained.",
            "69:An address is in use, or the kernel did not become ready.",
            "70:The event loop ended unexpectedly.",
            "75:Another process holds the lock file: this server is already running.",
            "78:A settings file has a fault."
        },
        footerHeading = "%nExample:%n",
        footer = "  GW_CONFIG=config.json wheatspread serve deploy/uwsgi.json")
final class ServeCommand implements Callable<Integer> {
    @Parameters(
            index = "0",
            arity = "0..1",
            paramLabel = "OPERATOR_FILE",
            description = "Settings of the uwsgi front, limits, log and process files, as JSON with comments.")
    private Path operatorFile;

    @Option(
            names = "--ready-file",
            paramLabel = "FILE",
            description = "Exists while the server accepts requests; overrides life.ready_file.")
    private Path readyFile;

    @Option(
            names = "--lock-file",
            paramLabel = "FILE",
            description = "Locked while the process runs; overrides life.lock_file.")
    private Path lockFile;

    @Option(
            names = "--report-file",
            paramLabel = "FILE",
            description = "Receives the report of the drain; overrides life.report_file.")
    private Path reportFile;

    @Option(
            names = "--mark",
            paramLabel = "TEXT",
            defaultValue = "",
            description = "Text that is written to the lock file.")
    private String mark;

    @Option(names = "--stats", description = "Enables the method stats; overrides the key stats.")
    private boolean stats;

    @Override
    public Integer call() throws InterruptedException {
        Configuration configuration = Configuration.load(System.getenv(), operatorFile);
        ServerConfig config = configuration.server();
        OperatorConfig operator = configuration
                .operator()
                .with(
                        configuration.operator().life().with(readyFile, lockFile, reportFile),
                        stats || configuration.operator().stats());
        LogConfig logConfig = operator.log();
        LogSetup.configureOutput(logConfig.json(), logConfig.level(), config.name());
        EventLog log = new StructuredLog(
                new RepeatLimit(logConfig.maxRepeats(), logConfig.repeatWindowMicros()),
                () -> System.nanoTime() / 1_000);
        try {
            return serve(config, operator, mark, log, server -> {});
        } finally {
            LogSetup.flush();
        }
    }

    /** Runs a server and returns its exit code; {@code onListening} is called if the server has bound its listeners. */
    static int serve(
            ServerConfig config, OperatorConfig operator, String mark, EventLog log, Consumer<Server> onListening)
            throws InterruptedException {
        Server server;
        try {
            server = start(config, operator, mark, log, onListening);
        } catch (OutOfMemoryError e) {
            throw JsonFields.InvalidValueException.outOfMemory("the configuration");
        }
        int code = server.awaitStopped();
        if (code == Server.EXIT_EVENT_LOOP_ENDED) {
            log.error("loop_ended");
        }
        return code;
    }

    /** Starts a server; it does not listen if a signal drained it during the start. */
    private static Server start(
            ServerConfig config, OperatorConfig operator, String mark, EventLog log, Consumer<Server> onListening) {
        Server server;
        try {
            server = new Server(config, operator, (loop, turns) -> new EventLoopClock(turns), log);
        } catch (IllegalArgumentException e) {
            throw new JsonFields.InvalidValueException("settings: " + e.getMessage());
        }
        try {
            server.lock(mark);
        } catch (ProcessMarkerFiles.LockTakenException e) {
            throw new ExitCodes.Failure(ExitCodes.TRY_LATER, e.getMessage());
        } catch (IOException e) {
            throw new ExitCodes.Failure(ExitCodes.CANNOT_CREATE, e.toString());
        }
        installSignalHandlers(server, log);
        server.warmUp();
        try {
            if (server.start()) {
                onListening.accept(server);
            }
        } catch (IllegalStateException e) {
            throw new ExitCodes.Failure(ExitCodes.UNAVAILABLE, e.getMessage());
        }
        return server;
    }

    /** Installs the signal handlers before the warm-up, so that a drain signal is handled in every phase. */
    private static void installSignalHandlers(Server server, EventLog log) {
        AtomicBoolean interrupted = new AtomicBoolean();
        boolean effective = SignalHandlers.handle("TERM", () -> server.signal(Event.DRAIN));
        // a second Ctrl-C ends the grace period of the drain
        SignalHandlers.handle(
                "INT", () -> server.signal(interrupted.getAndSet(true) ? Event.DRAIN_IMMEDIATELY : Event.DRAIN));
        effective &=
                SignalHandlers.handle("HUP", () -> server.reload(() -> ServerConfig.fromEnvironment(System.getenv())));
        if (!effective) { // reload or drain signals would be lost without this event
            log.error(
                    "signal_ignored",
                    "signals",
                    "TERM or HUP",
                    "reason",
                    "the process was started with the signal ignored, as by nohup, and will not receive it; "
                            + "start it with env --default-signal=HUP");
        }
    }
}
