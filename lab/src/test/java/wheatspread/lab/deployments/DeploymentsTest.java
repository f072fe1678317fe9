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
import wheatspread.lab.deployments.DeploymentRun.Mutation;

/** The server keeps its rules in every deployment, whichever optional fields are absent. */
class DeploymentsTest {
    private static final int DRAWN = 25;

    private static List<String> violations(Deployment deployment, long seed, Mutation mutation) throws IOException {
        try (DeploymentRun run = new DeploymentRun(deployment, seed, mutation)) {
            return run.run();
        }
    }

    @Provide
    Arbitrary<int[]> choices() {
        return Arbitraries.integers()
                .between(0, Deployment.CHOICE_BOUND - 1)
                .array(int[].class)
                .ofSize(Deployment.CHOICES);
    }

    /** A failure shrinks to the choices that cause it, because 0 selects the simplest value of each. */
    @Property(tries = DRAWN, seed = "27")
    void keepsRulesWhicheverFieldsAreAbsent(@ForAll("choices") int[] choices) throws IOException {
        Deployment deployment = new Deployment(choices);
        assertThat(violations(deployment, 27, Mutation.NONE))
                .as(deployment.toString())
                .isEmpty();
    }

    @Test
    void repeatedRunOfSameSeedHasNoViolations() throws IOException {
        for (int round = 0; round < 2; round++) {
            assertThat(violations(Deployment.drawn(4), 4, Mutation.NONE)).isEmpty();
        }
    }

    /** A server that requires an optional field breaks a rule in at least one of the first drawn deployments. */
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
    void findsInjectedDependenceOnOptionalField(String field) throws IOException {
        String[] path = field.split("\\.");
        boolean ofRequest = List.of("limit", "cpu", "item", "lb", "team").contains(field);
        UnaryOperator<JSONObject> failWithoutField = json -> {
            JSONObject parent = json;
            for (int i = 0; i < path.length - 1; i++) {
                parent = parent.getJSONObject(path[i]);
            }
            // A server that requires the field would fail to start, or reject the request as malformed.
            boolean present = parent.has(path[path.length - 1]);
            return present ? json : ofRequest ? json.put("ram", "none") : json.put("kernel", 7);
        };
        Mutation mutation = ofRequest
                ? new Mutation(config -> config, failWithoutField)
                : new Mutation(failWithoutField, params -> params);
        int firstSeed = IntStream.rangeClosed(1, DRAWN)
                .filter(seed -> {
                    try {
                        return !violations(Deployment.drawn(seed), seed, mutation)
                                .isEmpty();
                    } catch (IOException e) {
                        throw new java.io.UncheckedIOException(e);
                    }
                })
                .findFirst()
                .orElse(0);
        assertThat(firstSeed)
                .as("seed of the first drawn deployment that finds the defect")
                .isPositive();
    }
}
