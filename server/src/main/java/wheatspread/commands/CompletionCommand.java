package wheatspread.commands;

import java.util.concurrent.Callable;
import picocli.AutoComplete;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Prints a completion script for shells. */
@Command(
        name = "completion",
        mixinStandardHelpOptions = true,
        description = "Prints a completion script for bash and zsh.",
        footerHeading = "%nExample:%n",
        footer = "  source <(wheatspread completion)")
final class CompletionCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().getOut().println(AutoComplete.bash("wheatspread", Wheatspread.fullCommandLine()));
        spec.commandLine().getOut().flush();
        return ExitCodes.OK;
    }
}
