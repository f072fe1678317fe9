package wheatspread.admission.sfq;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import wheatspread.admission.Idempotency;
import wheatspread.admission.LoadGauges;
import wheatspread.admission.Outcome;

/** How many requests run at once. */
class ConcurrencyLimitTest {
    @Test
    void depthRisesWhileCoresIdleAndFallsToCoreCountWhenCrowded() {
        ControllerHarness harness = new ControllerHarness(TestSettings.settings(
                        false,
                        100_000,
                        0,
                        TestSettings.TWO_TENANTS,
                        TestSettings.requestClass(90_000, 90_000, Idempotency.IDEMPOTENT, 0, 0)))
                .at(1010);
        for (int i = 0; i < 40; i++) {
            harness.arrive(i + 1, 0, 0);
        }
        harness.decide();
        List<String> rise = ticksWithChange(harness, 2000, 0.2, 1);
        assertThat(rise.stream().filter(a -> a.startsWith("run")).count())
                .as("up to the ceiling of 0.6 x 10")
                .isEqualTo(4);
        ticksWithChange(harness, 5000, 1, 9);
        harness.at(5010)
                .complete(1, Outcome.OK, 10)
                .complete(2, Outcome.OK, 10)
                .complete(3, Outcome.OK, 10)
                .complete(4, Outcome.OK, 10)
                .decide();
        assertThat(harness.actions).as("two still run and the depth is two").noneMatch(a -> a.startsWith("run"));
        harness.at(5020).complete(5, Outcome.OK, 10).decide();
        assertThat(harness.actions).anyMatch(a -> a.startsWith("run"));
    }

    @Test
    void missingOrStuckGaugesKeepDepthAtCoreCount() {
        for (LoadGauges reading : List.of(new LoadGauges(Double.NaN, Double.NaN, 0, 0), new LoadGauges(0.1, 0, 0, 0))) {
            ControllerHarness harness = new ControllerHarness(TestSettings.settings(
                            false,
                            100_000,
                            0,
                            TestSettings.TWO_TENANTS,
                            TestSettings.requestClass(90_000, 90_000, Idempotency.IDEMPOTENT, 0, 0)))
                    .at(1010);
            for (int i = 0; i < 20; i++) {
                harness.arrive(i + 1, 0, 0);
            }
            harness.decide();
            harness.tickUntil(6000, reading);
            harness.at(6010);
            for (int i = 1; i <= 19; i++) {
                harness.complete(i, Outcome.OK, 10);
            }
            harness.decide();
            assertThat(harness.actions.stream().filter(a -> a.startsWith("run")).count())
                    .isLessThanOrEqualTo(2);
        }
    }

    @Test
    void coldServerRunsNoMoreThanSpeedFloorAllows() {
        ControllerHarness harness = new ControllerHarness(TestSettings.settings(
                        true,
                        100_000,
                        0,
                        TestSettings.TWO_TENANTS,
                        TestSettings.requestClass(90_000, 90_000, Idempotency.IDEMPOTENT, 0, 0)))
                .at(1010);
        for (int i = 0; i < 40; i++) {
            harness.arrive(i + 1, 0, 0);
        }
        harness.decide();
        List<String> all = ticksWithChange(harness, 1500, 0.1, 1);
        assertThat(all.stream().filter(a -> a.startsWith("run")).count())
                .as("0.6 x 2 x (1 + 4 x 0.24) is 2")
                .isZero();
    }

    @Test
    void coldServerHoldsFewBeforeFirstCompletion() {
        ControllerHarness harness = new ControllerHarness(TestSettings.settings(
                        true,
                        100_000,
                        0,
                        TestSettings.TWO_TENANTS,
                        TestSettings.requestClass(1000, 3000, Idempotency.IDEMPOTENT, 0, 0)))
                .at(1010);
        for (int i = 0; i < 40; i++) {
            harness.arrive(i + 1, i % 2, 0);
        }
        harness.decide();
        assertThat(harness.actions.stream().filter(a -> a.startsWith("reject")).count())
                .as("at a fifth of speed"
                        + " a run may take longer than the objective: two run, and the bound rounded up is one or two")
                .isBetween(36L, 37L);
    }

    private static List<String> ticksWithChange(
            ControllerHarness harness, long untilMillis, double coreUtilization, double runnableTasks) {
        List<String> all = new ArrayList<>();
        for (long t = harness.nowMillis + 50; t <= untilMillis; t += 50) {
            harness.at(t);
            harness.controller.onTimer(new LoadGauges(coreUtilization, runnableTasks, t * 1e-7, 3));
            harness.decide();
            all.addAll(harness.actions);
        }
        return all;
    }
}
