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
 * Starts a server, lets it warm up, listen and leave, so that the build can archive the classes which a
 * start loads ({@code -XX:ArchiveClassesAtExit}). What goes wrong is told and no failure: a server starts
 * without an archive too.
 */
@Command(
        name = "train",
        hidden = true,
        mixinStandardHelpOptions = true,
        description = "Starts a server and ends it, for the build's class-data archive.")
final class TrainCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "CONFIG", description = "A platform configuration.")
    private Path config;

    @Override
    public Integer call() {
        try {
            Wheatspread.prepared(new ServeCommand()).parseArgs("--stats");
            Configuration all =
                    Configuration.load(Map.of("GW_CONFIG", config.toString(), "GW_LISTEN", "127.0.0.1:0"), null);
            LogSetup.configureOutput(false, "error", all.server().name());
            EventLog log = new StructuredLog(new RepeatLimit(1, 1), () -> 0);
            ServeCommand.serve(all.server(), all.operator(), "", log, server -> server.signal(Event.DRAIN));
            LogSetup.flush();
        } catch (Exception e) {
            System.err.println("wheatspread: no training: " + e);
        }
        return ExitCodes.OK;
    }
}
