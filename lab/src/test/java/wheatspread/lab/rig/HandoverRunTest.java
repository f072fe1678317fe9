package wheatspread.lab.rig;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against lost, refused or duplicated requests while two processes of one server share its listening
 * socket and one of them is terminated or killed.
 */
class HandoverRunTest {
    private static final List<String> FLAGS = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx48m");

    @ParameterizedTest
    @EnumSource
    @Timeout(120)
    void respondsOnceToEachRequestOnSharedSocket(HandoverRun.End end) throws Exception {
        ReloadRun.Outcome outcome = new HandoverRun(Path.of("../server/target/wheatspread.jar"), FLAGS, 12).run(end, 1);
        assertThat(outcome.violations()).isEmpty();
        assertThat(outcome.figures().getLong("doubled")).isZero();
        assertThat(outcome.figures().getLong("served")).isGreaterThan(40);
    }
}
