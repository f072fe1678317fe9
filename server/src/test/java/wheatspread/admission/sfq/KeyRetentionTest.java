package wheatspread.admission.sfq;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import wheatspread.admission.Idempotency;
import wheatspread.admission.Outcome;

/** Tests which keys are retained, which requests join the original request, and the bound on the memory of both. */
class KeyRetentionTest {
    @Test
    void coalescesReadsWithSameCacheKey() {
        ControllerHarness harness =
                new ControllerHarness(TestSettings.withCacheTtl(TestSettings.defaults(), 1000)).advanceTo(1010);
        harness.arriveCacheable(1, 0, 0)
                .arriveCacheable(2, 0, 1)
                .arriveCacheable(3, 1, 1)
                .decide();
        assertThat(harness.actions).containsExactly("retain 1", "join 2", "join 3", "run 1");
        harness.advanceTo(1100)
                .complete(1, Outcome.OK, 90)
                .complete(2, Outcome.OK, 90)
                .complete(3, Outcome.OK, 90)
                .decide();
        harness.advanceTo(1110).arriveCacheable(4, 0, 1).decide();
        assertThat(harness.actions).as("the answer is cached").containsExactly("join 4");
        assertThat(harness.tickUntil(2200, ControllerHarness.IDLE_GAUGES))
                .as("the key is released when the answer has expired")
                .contains("release 1");
    }

    @Test
    void joinsDuplicateAfterDrainGrace() {
        ControllerHarness harness = new ControllerHarness(TestSettings.defaults()).advanceTo(1010);
        harness.arrive(1, 0, 1).decide();
        harness.advanceTo(1020);
        harness.controller.onDrain(6_000_000);
        harness.decide();
        harness.advanceTo(2500).arrive(2, 0, 1, 0, 1).arrive(3, 0, 1).decide();
        assertThat(harness.actions)
                .as("request 1 runs, so its duplicate must not be rejected")
                .startsWith("join 2", "reject 3")
                .doesNotContain("run 3");
    }

    @Test
    void retainsKeyAndJoinsDuplicatesAndRejectsNoneAfterRun() {
        ControllerHarness harness = new ControllerHarness(TestSettings.defaults())
                .advanceTo(1010)
                .arrive(1, 0, 1)
                .decide();
        assertThat(harness.actions).containsExactly("retain 1", "run 1");
        harness.advanceTo(1020).arrive(2, 0, 1, 0, 1).decide();
        assertThat(harness.actions).containsExactly("join 2");
        List<String> allActions = harness.tickUntil(4100, ControllerHarness.BUSY_GAUGES);
        assertThat(allActions).contains("fail 1", "fail 2").doesNotContain("reject 1", "reject 2", "run 1", "run 2");
    }

    @Test
    void runsDuplicateOfRequestRejectedInSameBatch() {
        ControllerHarness harness = new ControllerHarness(TestSettings.settings(
                        false,
                        45,
                        0,
                        TestSettings.TWO_TENANTS,
                        TestSettings.requestClass(1000, 3000, Idempotency.IDEMPOTENCY_KEY, 0, 0)))
                .advanceTo(1010);
        harness.arrive(1, 0, 0).arrive(2, 0, 0, 0, 1).decide();
        assertThat(harness.actions)
                .as("there is no memory for the key of request 1")
                .contains("reject 1", "retain 2")
                .doesNotContain("join 2");
    }

    @Test
    void rejectsBeforeRunWhenKeyDoesNotFit() {
        ControllerHarness harness = new ControllerHarness(TestSettings.settings(
                false,
                25,
                0,
                TestSettings.TWO_TENANTS,
                TestSettings.requestClass(1000, 3000, Idempotency.IDEMPOTENCY_KEY, 0, 0)));
        harness.advanceTo(1010).arrive(1, 0, 0).decide();
        assertThat(harness.actions).containsExactly("reject 1");
    }

    @Test
    void failsDuplicatesBeforeMemoryIsExhausted() {
        ControllerHarness harness = new ControllerHarness(TestSettings.settings(
                        false,
                        500,
                        0,
                        TestSettings.TWO_TENANTS,
                        TestSettings.requestClass(1000, 3000, Idempotency.IDEMPOTENCY_KEY, 0, 0)))
                .advanceTo(1010)
                .arrive(1, 0, 0)
                .decide();
        int failed = 0;
        for (int i = 2; i < 40; i++) {
            harness.advanceTo(1010 + i).arrive(i, 0, 0, 0, 1).decide();
            assertThat(harness.actions).doesNotContain("reject " + i);
            failed += harness.actions.contains("fail " + i) ? 1 : 0;
        }
        assertThat(80 + 10 + (38 - failed) * 20).as("memory").isLessThanOrEqualTo(500);
        assertThat(failed).isLessThan(38);
    }

    @Test
    void keepsMemoryBoundDuringArrivalBurst() {
        ControllerHarness harness = new ControllerHarness(TestSettings.settings(
                false,
                400,
                0,
                TestSettings.TWO_TENANTS,
                TestSettings.requestClass(1000, 3000, Idempotency.IDEMPOTENT, 0, 0)));
        harness.advanceTo(1010);
        for (int i = 0; i < 100; i++) {
            harness.arrive(i + 1, i % 2, 0);
        }
        harness.decide();
        long rejected = harness.actions.stream()
                .filter(action -> action.startsWith("reject"))
                .count();
        long runs = harness.actions.stream()
                .filter(action -> action.startsWith("run"))
                .count();
        assertThat((100 - rejected - runs) * 20 + runs * 80).isLessThanOrEqualTo(400);
        assertThat(runs).isPositive();
    }
}
