package wheatspread.commands;

import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import wheatspread.config.Configuration;
import wheatspread.lifecycle.Lifecycle.Event;
import wheatspread.logging.EventLog;
import wheatspread.logging.LogSetup;
import wheatspread.logging.RepeatLimit;
import wheatspread.logging.StructuredLog;

/**
 * Starts a server, warms it up, binds its listeners and drains it, so that the build can archive the classes that
 * are loaded at a start ({@code -XX:ArchiveClassesAtExit}). Errors are printed but do not fail the command, since a
 * server can start without an archive.
 */
@Command(
        name = "train",
        hidden = true,
        mixinStandardHelpOptions = true,
        description = "Starts and drains a server to record the class-data archive of the build.")
final class TrainCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "CONFIG", description = "The platform's settings file.")
    private Path config;

    @Override
    public Integer call() {
        try {
            Wheatspread.commandLine(new ServeCommand()).parseArgs("--stats");
            Configuration configuration =
                    Configuration.load(Map.of("GW_CONFIG", config.toString(), "GW_LISTEN", "127.0.0.1:0"), null);
            LogSetup.configureOutput(false, "error", configuration.server().name());
            EventLog log = new StructuredLog(new RepeatLimit(1, 1), () -> 0);
            ServeCommand.serve(
                    configuration.server(), configuration.operator(), "", log, server -> server.signal(Event.DRAIN));
            LogSetup.flush();
        } catch (Exception e) {
            System.err.println("wheatspread: training run failed; the class-data archive may be incomplete: " + e);
        }
        return ExitCodes.OK;
    }
}
