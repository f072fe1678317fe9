package wheatspread.commands;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The program's command line. */
@Command(
        name = "wheatspread",
        mixinStandardHelpOptions = true,
        version = "wheatspread 0.1.0",
        synopsisSubcommandLabel = "COMMAND",
        description = "A recipe server with admission control.",
        footerHeading = "%nExamples:%n",
        footer = {
            "  GW_CONFIG=config.json wheatspread serve deploy/uwsgi.json",
            "  wheatspread check --config config.json deploy/uwsgi.json",
            "  wheatspread fleet up deploy/fleet.json"
        },
        subcommands = {
            ServeCommand.class,
            CheckCommand.class,
            ShowConfigCommand.class,
            ImportNginxCommand.class,
            BenchlinkCommand.class,
            FleetCommand.class,
            MembersCommand.class,
            StoreCommand.class,
            CompletionCommand.class,
            TrainCommand.class
        })
public final class Wheatspread implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    /** Runs the command that the first argument names, and exits with its code. */
    public static void main(String[] args) {
        // registering the other commands would slow the start of a server
        CommandLine line =
                args.length > 0 && args[0].equals("serve") ? commandLine(new ServeCommand()) : fullCommandLine();
        String[] commandArgs =
                line.getCommand() instanceof ServeCommand ? java.util.Arrays.copyOfRange(args, 1, args.length) : args;
        System.exit(line.execute(commandArgs));
    }

    /** Returns the command line with all commands. */
    static CommandLine fullCommandLine() {
        return commandLine(new Wheatspread());
    }

    /** Returns a command line that maps exceptions to exit codes. */
    static CommandLine commandLine(Object command) {
        return new CommandLine(command)
                .setExecutionExceptionHandler(ExitCodes::handle)
                .setParameterExceptionHandler(ExitCodes::handleUsageError)
                .setExitCodeExceptionMapper(e -> ExitCodes.SOFTWARE);
    }

    @Override
    public Integer call() {
        throw new ParameterException(spec.commandLine(), "a command is required");
    }
}
