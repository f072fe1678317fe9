package wheatspread.commands;

import java.util.concurrent.Callable;
import picocli.AutoComplete;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Prints what a shell needs to complete commands. */
@Command(
        name = "completion",
        mixinStandardHelpOptions = true,
        description = "Prints a script with which bash and zsh complete commands and options.",
        footerHeading = "%nExample:%n",
        footer = "  source <(wheatspread completion)")
final class CompletionCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().getOut().println(AutoComplete.bash("wheatspread", Wheatspread.commands()));
        spec.commandLine().getOut().flush();
        return ExitCodes.OK;
    }
}
