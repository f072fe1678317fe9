package wheatspread.commands;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import wheatspread.sim.BenchLink;

/** The decisions on the simulator's wire. */
@Command(
        name = "benchlink",
        mixinStandardHelpOptions = true,
        description = "Puts the same decisions on the simulator's wire, on standard input and output.")
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
