package wheatspread.lab.deployments;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wheatspread.lab.deployments.DeploymentRun.Planted;

/** Nothing is taken for granted of a deployment but what the pages promise of every one. */
class DeploymentsTest {
    private static final int DRAWN = 25;

    private static List<String> play(Deployment site, long seed, Planted planted) throws IOException {
        try (DeploymentRun run = new DeploymentRun(site, seed, planted)) {
            return run.play();
        }
    }

    @Provide
    Arbitrary<int[]> choices() {
        return Arbitraries.integers()
                .between(0, Deployment.MOST - 1)
                .array(int[].class)
                .ofSize(Deployment.CHOICES);
    }

    /** A fault shrinks to the choices that it needs: 0 is the plain value of each. */
    @Property(tries = DRAWN, seed = "27")
    void theRulesHoldWhateverIsAbsent(@ForAll("choices") int[] choices) throws IOException {
        Deployment site = new Deployment(choices);
        assertThat(play(site, 27, Planted.NONE)).as(site.toString()).isEmpty();
    }

    @Test
    void theSameRunHasTheSameEnd() throws IOException {
        for (int round = 0; round < 2; round++) {
            assertThat(play(Deployment.drawn(4), 4, Planted.NONE)).isEmpty();
        }
    }

    /** Each stands for a line of code that takes a field for granted, and is found among the drawn ones. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "records",
                "announce",
                "seed",
                "limits",
                "settings.Parties",
                "settings.Ceilings",
                "settings.FamilyInfo.Say",
                "settings.FamilyInfo.Halt",
                "settings.FamilyInfo.Fresh",
                "limit",
                "cpu",
                "item",
                "lb",
                "team"
            })
    void aPlantedDemandForAFieldIsFound(String field) throws IOException {
        String[] path = field.split("\\.");
        boolean ofRequest = List.of("limit", "cpu", "item", "lb", "team").contains(field);
        UnaryOperator<JSONObject> demand = told -> {
            JSONObject at = told;
            for (int i = 0; i < path.length - 1; i++) {
                at = at.getJSONObject(path[i]);
            }
            // a server that demanded it would end its start, or take the request for a malformed one
            boolean there = at.has(path[path.length - 1]);
            return there ? told : ofRequest ? told.put("ram", "none") : told.put("kernel", 7);
        };
        Planted planted = ofRequest ? new Planted(told -> told, demand) : new Planted(demand, told -> told);
        int found = IntStream.rangeClosed(1, DRAWN)
                .filter(seed -> {
                    try {
                        return !play(Deployment.drawn(seed), seed, planted).isEmpty();
                    } catch (IOException e) {
                        throw new java.io.UncheckedIOException(e);
                    }
                })
                .findFirst()
                .orElse(0);
        assertThat(found).as("the first of the drawn deployments that finds it").isPositive();
    }
}
