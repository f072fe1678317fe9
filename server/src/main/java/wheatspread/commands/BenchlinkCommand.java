package wheatspread.commands;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import wheatspread.sim.BenchLink;

/** Runs the simulator's adapter. */
@Command(
        name = "benchlink",
        mixinStandardHelpOptions = true,
        description =
                "Reads the simulator's events from standard input and writes the admission controller's actions to "
                        + "standard output.")
final class BenchlinkCommand implements Callable<Integer> {
    @Override
    public Integer call() throws IOException {
        try {
            new BenchLink(System.in, System.out).serve();
            return ExitCodes.OK;
        } catch (BenchLink.InvalidInputException e) {
            throw new ExitCodes.Failure(ExitCodes.DATA, e.getMessage());
        }
    }
}
