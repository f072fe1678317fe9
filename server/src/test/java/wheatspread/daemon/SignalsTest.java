package wheatspread.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that a process detects whether it was started with a signal ignored. */
class SignalsTest {
    /** Prints whether a handler for HUP is effective. */
    static final class HupHandlerProgram {
        private HupHandlerProgram() {}

        public static void main(String[] args) {
            System.out.println(SignalHandlers.handle("HUP", () -> {}));
        }
    }

    @Test
    @Timeout(30)
    void detectsSignalIgnoredAtStart() throws Exception {
        assertThat(outputOf("")).isEqualTo("true");
        assertThat(outputOf("trap '' HUP; ")).isEqualTo("false");
        // the command that the server's log recommends
        assertThat(outputOf("trap '' HUP; exec env --default-signal=HUP ")).isEqualTo("true");
    }

    private static String outputOf(String shellPrefix) throws Exception {
        String java = Path.of(System.getProperty("java.home"), "bin", "java")
                + " -XX:TieredStopAtLevel=1 -cp '" + System.getProperty("java.class.path") + "' '"
                + HupHandlerProgram.class.getName() + "'";
        Process process = new ProcessBuilder("/bin/sh", "-c", shellPrefix + java)
                .redirectErrorStream(true)
                .start();
        String output = new String(process.getInputStream().readAllBytes()).strip();
        assertThat(process.waitFor(10, TimeUnit.SECONDS)).isTrue();
        return output;
    }
}
