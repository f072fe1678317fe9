package wheatspread.admission.sfq;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import wheatspread.admission.Idempotency;
import wheatspread.admission.LoadGauges;
import wheatspread.admission.Outcome;

/** Tests the number of requests that run at the same time. */
class ConcurrencyLimitTest {
    @Test
    void limitRisesWhileCoresIdleAndFallsToCoreCountWhenCrowded() {
        ControllerHarness harness = new ControllerHarness(TestSettings.settings(
                        false,
                        100_000,
                        0,
                        TestSettings.TWO_TENANTS,
                        TestSettings.requestClass(90_000, 90_000, Idempotency.IDEMPOTENT, 0, 0)))
                .advanceTo(1010);
        for (int i = 0; i < 40; i++) {
            harness.arrive(i + 1, 0, 0);
        }
        harness.decide();
        List<String> actionsWhileIdle = tickWithChangingGauges(harness, 2000, 0.2, 1);
        assertThat(actionsWhileIdle.stream()
                        .filter(action -> action.startsWith("run"))
                        .count())
                .as("two runs plus four reach the upper bound of 0.6 x 10")
                .isEqualTo(4);
        tickWithChangingGauges(harness, 5000, 1, 9);
        harness.advanceTo(5010)
                .complete(1, Outcome.OK, 10)
                .complete(2, Outcome.OK, 10)
                .complete(3, Outcome.OK, 10)
                .complete(4, Outcome.OK, 10)
                .decide();
        assertThat(harness.actions)
                .as("two requests still run and D is two")
                .noneMatch(action -> action.startsWith("run"));
        harness.advanceTo(5020).complete(5, Outcome.OK, 10).decide();
        assertThat(harness.actions).anyMatch(action -> action.startsWith("run"));
    }

    @Test
    void missingOrStuckGaugesKeepLimitAtCoreCount() {
        for (LoadGauges reading : List.of(new LoadGauges(Double.NaN, Double.NaN, 0, 0), new LoadGauges(0.1, 0, 0, 0))) {
            ControllerHarness harness = new ControllerHarness(TestSettings.settings(
                            false,
                            100_000,
                            0,
                            TestSettings.TWO_TENANTS,
                            TestSettings.requestClass(90_000, 90_000, Idempotency.IDEMPOTENT, 0, 0)))
                    .advanceTo(1010);
            for (int i = 0; i < 20; i++) {
                harness.arrive(i + 1, 0, 0);
            }
            harness.decide();
            harness.tickUntil(6000, reading);
            harness.advanceTo(6010);
            for (int i = 1; i <= 19; i++) {
                harness.complete(i, Outcome.OK, 10);
            }
            harness.decide();
            assertThat(harness.actions.stream()
                            .filter(action -> action.startsWith("run"))
                            .count())
                    .isLessThanOrEqualTo(2);
        }
    }

    @Test
    void coldServerLimitsRunsBySpeedFloor() {
        ControllerHarness harness = new ControllerHarness(TestSettings.settings(
                        true,
                        100_000,
                        0,
                        TestSettings.TWO_TENANTS,
                        TestSettings.requestClass(90_000, 90_000, Idempotency.IDEMPOTENT, 0, 0)))
                .advanceTo(1010);
        for (int i = 0; i < 40; i++) {
            harness.arrive(i + 1, 0, 0);
        }
        harness.decide();
        List<String> allActions = tickWithChangingGauges(harness, 1500, 0.1, 1);
        assertThat(allActions.stream()
                        .filter(action -> action.startsWith("run"))
                        .count())
                .as("the upper bound 0.6 x 2 x (1 + 4 x 0.24) rounds down to 2")
                .isZero();
    }

    @Test
    void coldServerHoldsFewRequestsBeforeFirstCompletion() {
        ControllerHarness harness = new ControllerHarness(TestSettings.settings(
                        true,
                        100_000,
                        0,
                        TestSettings.TWO_TENANTS,
                        TestSettings.requestClass(1000, 3000, Idempotency.IDEMPOTENT, 0, 0)))
                .advanceTo(1010);
        for (int i = 0; i < 40; i++) {
            harness.arrive(i + 1, i % 2, 0);
        }
        harness.decide();
        assertThat(harness.actions.stream()
                        .filter(action -> action.startsWith("reject"))
                        .count())
                .as("at a fifth of the speed a run may take longer than the objective:"
                        + " two requests run, and the bound rounded up is one or two")
                .isBetween(36L, 37L);
    }

    /** Runs a batch per tick with the memory gauge changing, so that the gauges do not count as stuck. */
    private static List<String> tickWithChangingGauges(
            ControllerHarness harness, long untilMillis, double coreUtilization, double runnableTasks) {
        List<String> allActions = new ArrayList<>();
        for (long timeMillis = harness.nowMillis + 50; timeMillis <= untilMillis; timeMillis += 50) {
            harness.advanceTo(timeMillis);
            harness.controller.onTimer(new LoadGauges(coreUtilization, runnableTasks, timeMillis * 1e-7, 3));
            harness.decide();
            allActions.addAll(harness.actions);
        }
        return allActions;
    }

    /** Guards against an overflow of the count of stuck readings after a month without readable gauges. */
    @Test
    void gaugesStayStuckThroughMonthsOfUnreadableReadings() {
        GaugeMonitor gauges = new GaugeMonitor();
        LoadGauges unreadable = new LoadGauges(Double.NaN, Double.NaN, 0, 0);
        long ticks = TimeUnit.DAYS.toMillis(40) * 1000 / DecisionClock.TICK_MICROS;
        boolean stuck = true;
        for (long tick = 0; tick < ticks; tick++) {
            gauges.beginBatch();
            gauges.record(unreadable);
            gauges.check(true);
            stuck &= gauges.isStuck();
        }
        assertThat(stuck).isTrue();
    }
}
