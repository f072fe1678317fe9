package wheatspread.lab;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command line of the measurements. */
@Command(
        name = "wheatspread-lab",
        mixinStandardHelpOptions = true,
        version = "0.1.0",
        description = "Measures the server with stand-ins for the services that it connects to.",
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {
            IdleCommand.class,
            ConnectionsCommand.class,
            BenchCommand.class,
            DemoCommand.class,
            FleetMeasurementCommand.class,
            StartCommand.class,
            HoldCommand.class,
            StoreMeasurementCommand.class,
            ReloadCommand.class,
            SoakCommand.class,
            FaultsCommand.class,
            ModelCommand.class,
            CostCommand.class,
            DeploymentsCommand.class,
            SettingsCommand.class,
            ScaleCommand.class,
            HollowCommand.class,
            CapacityCommand.class
        })
public final class Lab implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    public static void main(String[] args) {
        System.exit(new CommandLine(new Lab()).execute(args));
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "missing command; --help lists the commands");
    }
}
