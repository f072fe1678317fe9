package wheatspread.lab;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

/** What {@code scale} refuses before it starts anything. */
class ScaleCommandTest {
    /** The exit code and what was written to standard error. */
    private record Ended(int code, String error) {}

    private static Ended run(String... arguments) {
        PrintStream before = System.err;
        ByteArrayOutputStream error = new ByteArrayOutputStream();
        System.setErr(new PrintStream(error, true, StandardCharsets.UTF_8));
        try {
            return new Ended(
                    new CommandLine(new ScaleCommand()).execute(arguments), error.toString(StandardCharsets.UTF_8));
        } finally {
            System.setErr(before);
        }
    }

    @Test
    void aFleetThatTheMachineCannotCarryIsRefusedInOneLine() {
        Ended ended = run("--steps", "1000000");
        assertThat(ended.code()).isEqualTo(69);
        assertThat(ended.error().lines())
                .singleElement()
                .asString()
                .startsWith("1000000 hollow and 8 real servers want ");
    }

    @Test
    void aFaultThatIsNotKnownIsNamedWithThoseThatAre() {
        Ended ended = run("--faults", "crash,flood");
        assertThat(ended.code()).isEqualTo(64);
        assertThat(ended.error().strip())
                .isEqualTo("unknown fault flood; known are "
                        + "[crash, rack, restarts_daily, restarts_release, loss20, zone, return, halves]");
    }

    @Test
    void aFleetWithoutRealServersIsRefused() {
        assertThat(run("--real", "0").code()).isEqualTo(64);
        assertThat(run("--steps", "4", "--real", "8").code()).isEqualTo(64);
    }
}
