package wheatspread.lab.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import wheatspread.lab.world.PlantedFault;

/** Guards against a soak that passes although a rule was broken: it finds a planted fault of each kind. */
class SoakRunTest {
    private static final Path JAR = Path.of("../server/target/wheatspread.jar");
    private static final List<String> FLAGS = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx48m");
    private static final long SEED = 3;

    private static final Map<PlantedFault, String> EXPECTED = Map.of(
            PlantedFault.DROPPED_ANSWER, "unanswered: ",
            PlantedFault.KEY_RUN_TWICE, "doubled: ",
            PlantedFault.RUN_PAST_GRACE, "late_run: ");

    @ParameterizedTest
    @EnumSource(names = {"DROPPED_ANSWER", "KEY_RUN_TWICE", "RUN_PAST_GRACE"})
    @Timeout(120)
    void findsPlantedFaultOfServer(PlantedFault fault) throws Exception {
        assertThat(new SoakRun(JAR, FLAGS, SEED, fault).run().violations())
                .isNotEmpty()
                .allMatch(violation -> violation.startsWith(EXPECTED.get(fault)));
    }

    @Test
    @Timeout(60)
    void findsLostWriteOfStore() throws Exception {
        assertThat(new StoreCycles(SEED, false).call()).isEmpty();
        assertThat(new StoreCycles(SEED, true).call()).isNotEmpty().allMatch(text -> text.startsWith("lost_write: "));
    }
}
