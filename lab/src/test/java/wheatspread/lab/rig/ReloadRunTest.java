package wheatspread.lab.rig;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import wheatspread.lab.world.InvariantChecker;

/**
 * Guards against lost, late and duplicated requests when six server processes reload changed service addresses
 * under load, each with a different disturbance; and checks that the invariant checker reports lost requests.
 */
class ReloadRunTest {
    private static final Path JAR = Path.of("../server/target/wheatspread.jar");
    private static final List<String> FLAGS = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx48m");

    @Test
    @Timeout(180)
    void keepsInvariantsDuringReloadsUnderLoad() throws Exception {
        ReloadRun.Outcome outcome = new ReloadRun(JAR, FLAGS, 40).run(1);
        assertThat(outcome.violations()).isEmpty();
        assertThat(outcome.figures().getInt("left_in_order")).isEqualTo(6);
        assertThat(outcome.figures().getLong("served")).isGreaterThan(300);
    }

    @Test
    @Timeout(120)
    void checkerReportsUnansweredRequestsOfUnrecordedKill() throws Exception {
        try (Rig rig = new Rig(JAR, FLAGS, 1)) {
            rig.start();
            rig.world().setRequestRate(30);
            RigServer member = rig.members().get(0);
            while (rig.world().countServed() < 3) {
                TimeUnit.MILLISECONDS.sleep(5);
            }
            // stopped first, so that some pending requests are too old to be resent as racing with the close
            member.signal("STOP");
            while (rig.world().countPendingAttempts() < 12) {
                TimeUnit.MILLISECONDS.sleep(5);
            }
            member.kill();
            rig.settle();
            InvariantChecker checker = rig.world().checker();
            assertThat(checker.countViolations()).isPositive();
            assertThat(checker.violations()).anyMatch(violation -> violation.startsWith("unanswered"));
        }
    }
}
