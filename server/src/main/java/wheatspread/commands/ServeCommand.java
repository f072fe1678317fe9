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

/** Runs one server until it is told to leave. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = {
            "Runs one server. GW_CONFIG names its configuration; GW_NAME and GW_LISTEN go over it.",
            "SIGTERM drains it, SIGHUP reads the configuration again, a second SIGINT asks a drain to hurry."
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:It left in order.",
            "69:An address is taken, or the kernel did not come up.",
            "70:Its event loop ended.",
            "75:The lock is held: this server runs already.",
            "78:A settings file is wrong."
        },
        footerHeading = "%nExample:%n",
        footer = "  GW_CONFIG=config.json wheatspread serve deploy/uwsgi.json")
final class ServeCommand implements Callable<Integer> {
    @Parameters(
            index = "0",
            arity = "0..1",
            paramLabel = "OPERATOR_FILE",
            description = "Second front, limits, log and life of the process; JSON with comments.")
    private Path operatorFile;

    @Option(
            names = "--ready-file",
            paramLabel = "FILE",
            description = "Is there while the server takes work; goes over life.ready_file.")
    private Path readyFile;

    @Option(
            names = "--lock-file",
            paramLabel = "FILE",
            description = "Locked while the process lives; goes over life.lock_file.")
    private Path lockFile;

    @Option(
            names = "--report-file",
            paramLabel = "FILE",
            description = "Gets the report of the drain; goes over life.report_file.")
    private Path reportFile;

    @Option(names = "--mark", paramLabel = "TEXT", defaultValue = "", description = "Stands in the lock file.")
    private String mark;

    @Option(names = "--stats", description = "Answers the method stats, as the key of that name does.")
    private boolean stats;

    @Override
    public Integer call() throws InterruptedException {
        Configuration all = Configuration.load(System.getenv(), operatorFile);
        ServerConfig config = all.server();
        OperatorConfig operator = all.operator()
                .with(
                        all.operator().life().with(readyFile, lockFile, reportFile),
                        stats || all.operator().stats());
        LogConfig told = operator.log();
        LogSetup.configureOutput(told.json(), told.level(), config.name());
        EventLog log = new StructuredLog(
                new RepeatLimit(told.maxRepeats(), told.repeatWindowMicros()), () -> System.nanoTime() / 1_000);
        try {
            return serve(config, operator, mark, log, server -> {});
        } finally {
            LogSetup.flush();
        }
    }

    /** From the settings to the exit code; {@code whenListening} hears of a server that listens. */
    static int serve(
            ServerConfig config, OperatorConfig operator, String mark, EventLog log, Consumer<Server> whenListening)
            throws InterruptedException {
        Server server;
        try {
            server = started(config, operator, mark, log, whenListening);
        } catch (OutOfMemoryError e) {
            throw JsonFields.InvalidValueException.outOfMemory("what the settings ask for");
        }
        int code = server.awaitStopped();
        if (code == Server.EXIT_EVENT_LOOP_ENDED) {
            log.error("loop_ended");
        }
        return code;
    }

    /** A server that listens, or that a notice to leave has kept from it. */
    private static Server started(
            ServerConfig config, OperatorConfig operator, String mark, EventLog log, Consumer<Server> whenListening) {
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
        listenToSignals(server, log);
        server.warmUp();
        try {
            if (server.start()) {
                whenListening.accept(server);
            }
        } catch (IllegalStateException e) {
            throw new ExitCodes.Failure(ExitCodes.UNAVAILABLE, e.getMessage());
        }
        return server;
    }

    /** From here on a notice to leave finds somebody, in every phase. */
    private static void listenToSignals(Server server, EventLog log) {
        AtomicBoolean interrupted = new AtomicBoolean();
        boolean heard = SignalHandlers.handle("TERM", () -> server.signal(Event.DRAIN));
        // at a terminal the second Ctrl-C means that somebody waits
        SignalHandlers.handle(
                "INT", () -> server.signal(interrupted.getAndSet(true) ? Event.DRAIN_IMMEDIATELY : Event.DRAIN));
        heard &= SignalHandlers.handle("HUP", () -> server.reload(() -> ServerConfig.fromEnvironment(System.getenv())));
        if (!heard) { // every reload, or the notice, would pass unseen
            log.error(
                    "signal_ignored",
                    "signals",
                    "TERM or HUP",
                    "reason",
                    "started by a process that " + "ignores it, as nohup does; start it with env --default-signal=HUP");
        }
    }
}
