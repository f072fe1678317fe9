package wheatspread.lab;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

/** Checks the command lines that {@code scale} rejects before it starts any process. */
class ScaleCommandTest {
    /** The exit code and the standard error of a command. */
    private record Result(int exitCode, String error) {}

    private static Result run(String... arguments) {
        PrintStream originalErr = System.err;
        ByteArrayOutputStream error = new ByteArrayOutputStream();
        System.setErr(new PrintStream(error, true, StandardCharsets.UTF_8));
        try {
            return new Result(
                    new CommandLine(new ScaleCommand()).execute(arguments), error.toString(StandardCharsets.UTF_8));
        } finally {
            System.setErr(originalErr);
        }
    }

    @Test
    void rejectsFleetBeyondMachineLimitsInOneLine() {
        Result result = run("--steps", "1000000");
        assertThat(result.exitCode()).isEqualTo(69);
        assertThat(result.error().lines())
                .singleElement()
                .asString()
                .startsWith("1000000 hollow and 8 real servers want ");
    }

    @Test
    void rejectsUnknownFaultAndListsKnownFaults() {
        Result result = run("--faults", "crash,flood");
        assertThat(result.exitCode()).isEqualTo(64);
        assertThat(result.error().strip())
                .isEqualTo("unknown fault flood; known are "
                        + "[crash, rack, restarts_daily, restarts_release, loss20, zone, return, halves]");
    }

    @Test
    void rejectsFleetWithoutOrWithTooManyRealServers() {
        assertThat(run("--real", "0").exitCode()).isEqualTo(64);
        assertThat(run("--steps", "4", "--real", "8").exitCode()).isEqualTo(64);
    }
}
