package wheatspread.lab.faults;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import wheatspread.config.JsonFields;
import wheatspread.config.JsonFile;

/**
 * Guards against diverging views under link and process faults between six server processes, and checks that the
 * view checker reports diverging and repeated views.
 */
class FaultsRunTest {
    private static final Path JAR = Path.of("../server/target/wheatspread.jar");
    private static final List<String> FLAGS = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx48m");
    /** A pause and a one-way cut that remove no member, a member whose messages are all lost, and a crash. */
    private static final String SIX_MEMBERS = """
        {"members": 6, "load_per_s": 20, "run_s": 26, "faults": [
            {"at_s": 0.5, "for_s": 1, "do": "pause", "on": ["m3"]},
            {"at_s": 0.5, "for_s": 6, "do": "cut", "from": ["m1"], "to": ["m6"]},
            {"at_s": 1, "for_s": 3, "do": "garbage", "on": ["m2"]},
            {"at_s": 7, "for_s": 9, "do": "cut", "from": ["m4"]},
            {"at_s": 16, "do": "kill", "on": ["m5"]}],
         "expect": {"views_at_most": 3, "final_members": 5, "converged_within_s": 10, "gone": ["m4", "m5"]}}
        """;

    private static Scenario scenario(String text) {
        return Scenario.read(JsonFile.read("test.json", text), 1);
    }

    @Test
    @Timeout(120)
    void sixProcessesAgreeOnViewsUnderFaults() throws Exception {
        FaultsRun.Outcome outcome = new FaultsRun(JAR, FLAGS, scenario(SIX_MEMBERS), 1).run();
        assertThat(outcome.violations()).isEmpty();
        assertThat(outcome.figures().getInt("views")).isBetween(2, 3);
    }

    @Test
    void reportsDivergingViewsAndReturnToEarlierView() {
        ViewChecker checker = new ViewChecker();
        String line = "INFO view id=54.%s members=3 list=%s in=true come=[] gone=[m2#17 MISSED [m1, m3]]";
        checker.read("m1", List.of(String.format(line, "1", "ab"), String.format(line, "2", "cd")));
        assertThat(checker.violations()).isEmpty();
        assertThat(checker.missed()).containsExactly("m2");
        checker.read("m3", List.of(String.format(line, "2", "ce")));
        assertThat(checker.violations()).singleElement().asString().startsWith("two views 54.2");
        checker.read("m4", List.of(String.format(line, "2", "cd"), String.format(line, "1", "ab")));
        assertThat(checker.violations()).hasSize(2).last().asString().startsWith("m4 went back to view 54.1");
    }

    @Test
    void rejectsInvalidScenarioNamingTheKey() {
        for (String[] textAndMessage : new String[][] {
            {"{'members': 3, 'faults': [{'do': 'melt'}]}", "faults[0].do is an unknown word: melt"},
            {"{'members': 3, 'faults': [{'do': 'cut', 'on': ['m1']}]}", "faults[0].do is cut, which takes from"},
            {"{'members': 3, 'faults': [{'do': 'kill', 'on': ['m4']}]}", "faults[0].on names m4; known are all"},
            {"{'members': 3, 'zones': {'a': 2}}", "zones hold 2 members; members says 3"},
            {"{'members': 3, 'run': 5}", "run is an unknown key; known are [expect, faults"}
        }) {
            assertThatThrownBy(() -> scenario(textAndMessage[0].replace('\'', '"')))
                    .isInstanceOf(JsonFields.InvalidValueException.class)
                    .hasMessageContaining(textAndMessage[1]);
        }
    }

    @Test
    void appliesLossDelayDuplicationAndFlappingBySeed() {
        Scenario scenario = scenario("""
            {"members": 4, "faults": [{"do": "cut", "from": ["m1"], "to": ["m2"]},
             {"do": "flap", "from": ["m2"], "to": ["m1"], "period_ms": 100},
             {"do": "loss", "from": ["m3"], "to": ["m1"], "share": 0.25},
             {"do": "delay", "from": ["m4"], "ms": 70}, {"do": "duplicate", "from": ["m4"], "share": 1}]}""");
        LinkModel links = new LinkModel(new SplittableRandom(3));
        scenario.faults().forEach(links::begin);
        assertThat(links.deliveryDelays("m1", "m2", 0)).isEmpty();
        assertThat(links.deliveryDelays("m1", "m3", 0)).containsExactly(0L);
        assertThat(links.deliveryDelays("m2", "m1", 50_000)).isEmpty();
        assertThat(links.deliveryDelays("m2", "m1", 150_000)).containsExactly(0L);
        assertThat(links.deliveryDelays("m4", "m1", 0)).containsExactly(70_000L, 71_000L);
        List<Integer> copies = new ArrayList<>();
        for (int i = 0; i < 4_000; i++) {
            copies.add(links.deliveryDelays("m3", "m1", 0).size());
        }
        assertThat(copies.stream().filter(count -> count == 0).count()).isBetween(900L, 1_100L);
        scenario.faults().forEach(links::end);
        assertThat(links.deliveryDelays("m1", "m2", 0)).containsExactly(0L);
    }
}
