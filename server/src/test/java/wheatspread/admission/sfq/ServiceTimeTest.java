package wheatspread.admission.sfq;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wheatspread.admission.Idempotency;
import wheatspread.admission.LoadGauges;
import wheatspread.admission.Outcome;

/** Tests the estimates of service times and client waits, and the decisions that depend on them. */
class ServiceTimeTest {
    @Test
    void learnsServiceTimesFromHints() {
        ControllerHarness harness = new ControllerHarness(TestSettings.defaults());
        for (int i = 0; i < 20; i++) {
            long hint = i % 2 == 0 ? 50 : 400;
            harness.advanceTo(1010 + 1000L * i).arriveWithHint(i + 1, 0, hint).decide();
            harness.advanceTo(1010 + 1000L * i + 2 * hint)
                    .complete(i + 1, Outcome.OK, 2 * hint)
                    .decide();
        }
        harness.advanceTo(30_000)
                .arriveWithHint(50, 0, 100)
                .arriveWithHint(51, 1, 600)
                .arriveWithHint(52, 1, 60)
                .decide();
        assertThat(harness.actions)
                .as("a hint of 600 ms predicts a run of 1200 ms, which misses the objective of 1000 ms")
                .containsExactly("run 50", "reject 51", "run 52");
    }

    @Test
    void shortRunsDoNotInflateEstimatesOfLongHints() {
        ControllerHarness harness = new ControllerHarness(TestSettings.defaults());
        for (int i = 0; i < 20; i++) {
            harness.advanceTo(1010 + 1000L * i)
                    .arriveWithHint(i + 1, 0, i % 2 == 0 ? 50 : 400)
                    .decide();
            harness.advanceTo(1011 + 1000L * i + (i % 2 == 0 ? 0 : 399))
                    .complete(i + 1, Outcome.OK, 1)
                    .decide();
        }
        harness.advanceTo(30_000)
                .arriveWithHint(50, 0, 50)
                .arriveWithHint(51, 1, 800)
                .decide();
        assertThat(harness.actions)
                .as("a hint of 800 ms is twice that of runs of 400 ms")
                .containsExactly("run 50", "run 51");
    }

    @Test
    void abandonedRunsRaiseTimeRequiredToStart() {
        ControllerHarness harness = new ControllerHarness(TestSettings.defaults());
        for (int i = 0; i < 20; i++) {
            long hint = i % 2 == 0 ? 50 : 500;
            harness.advanceTo(1010 + 1000L * i).arriveWithHint(i + 1, 0, hint).decide();
            harness.advanceTo(1010 + 1000L * i + hint)
                    .complete(i + 1, Outcome.OK, hint)
                    .decide();
        }
        harness.advanceTo(30_000)
                .arriveWithHint(50, 0, 50)
                .arriveWithHint(51, 1, 700)
                .decide();
        assertThat(harness.actions).contains("run 51");
        harness.advanceTo(30_700)
                .complete(50, Outcome.OK, 50)
                .complete(51, Outcome.OK, 700)
                .decide();
        for (int i = 100; i < 110; i++) {
            harness.advanceTo(harness.nowMillis + 100).arrive(i, 0, 0).decide();
            assertThat(harness.tickUntil(harness.nowMillis + 1100, ControllerHarness.BUSY_GAUGES))
                    .contains("fail " + i);
            harness.advanceTo(harness.nowMillis + 10)
                    .complete(i, Outcome.CANCELED, 1050)
                    .decide();
        }
        harness.advanceTo(harness.nowMillis + 100)
                .arriveWithHint(200, 0, 50)
                .arriveWithHint(201, 1, 700)
                .decide();
        assertThat(harness.actions).contains("run 200", "reject 201");
    }

    @Test
    void addsCallTimeToHintEstimate() {
        ControllerHarness harness = new ControllerHarness(TestSettings.settings(
                false,
                100_000,
                9,
                TestSettings.TWO_TENANTS,
                TestSettings.requestClass(1000, 3000, Idempotency.IDEMPOTENT, 0, 0)));
        for (int i = 0; i < 20; i++) {
            long hint = i % 2 == 0 ? 50 : 200;
            harness.advanceTo(1010 + 1000L * i).arriveWithHint(i + 1, 0, hint).decide();
            harness.advanceTo(1010 + 1000L * i + hint).controller.onBlocked(i + 1);
            harness.decide();
            harness.advanceTo(1510 + 1000L * i + hint).controller.onCallCompleted(i + 1, Outcome.OK, 500_000);
            harness.decide();
            harness.advanceTo(1512 + 1000L * i + hint)
                    .complete(i + 1, Outcome.OK, 502 + hint)
                    .decide();
        }
        harness.advanceTo(30_000)
                .arriveWithHint(50, 0, 50)
                .arriveWithHint(51, 1, 400)
                .decide();
        assertThat(harness.actions)
                .as("400 ms on the cores and 500 ms for a call fit in 1000 ms")
                .containsExactly("run 50", "run 51");
    }

    @Test
    void coldProcessScalesHintsByGuaranteedSpeed() {
        ControllerHarness harness = new ControllerHarness(TestSettings.settings(
                        true,
                        100_000,
                        0,
                        TestSettings.TWO_TENANTS,
                        TestSettings.requestClass(1000, 3000, Idempotency.IDEMPOTENT, 0, 0)))
                .advanceTo(1010);
        harness.arriveWithHint(1, 0, 50)
                .arriveWithHint(2, 1, 600)
                .arriveWithHint(3, 1, 50)
                .decide();
        assertThat(harness.actions)
                .as("600 ms of work at a fifth of the speed miss the objective of 1000 ms")
                .containsExactly("run 1", "reject 2", "run 3");
    }

    @Test
    void rejectsRetryWhoseClientObjectivePassed() {
        ControllerHarness harness = new ControllerHarness(TestSettings.settings(
                false,
                100_000,
                0,
                TestSettings.TWO_TENANTS,
                TestSettings.requestClass(1000, 4000, Idempotency.IDEMPOTENT, 0, 0),
                TestSettings.requestClass(1000, 3000, Idempotency.AT_MOST_ONCE, 0, 0)));
        harness.advanceTo(1010)
                .arriveWithTimeout(1, 0, 2000, false)
                .arriveWithTimeout(2, 1, 3000, false)
                .decide();
        harness.advanceTo(1020)
                .complete(1, Outcome.OK, 10)
                .complete(2, Outcome.OK, 10)
                .decide();
        harness.advanceTo(1030)
                .arriveWithTimeout(3, 0, 2500, true)
                .arriveWithTimeout(4, 0, 3500, true)
                .arriveWithTimeout(5, 1, 1600, true)
                .decide();
        assertThat(harness.actions)
                .as("the client of request 3 has waited 1.5 s, that of 5 1.4 s and that of 4 only 0.5 s")
                .containsExactly("reject 3", "reject 5", "run 4");
        harness.advanceTo(1040).complete(4, Outcome.OK, 10).decide();
        harness.advanceTo(1050).arriveWithTimeout(6, 0, 2000, true).decide();
        assertThat(harness.actions)
                .as("the timeout equals that of first attempts, so the mean of the known waits is assumed")
                .containsExactly("reject 6");
        harness.advanceTo(1060).arriveWithTimeout(7, 0, 2000, false).decide();
        assertThat(harness.actions).containsExactly("run 7");
    }

    /**
     * Guards against runs that all end late: without this assumption, clients that mark retries but send no timeout
     * would get runs that end after their objective.
     */
    @Test
    void assumesWaitOfRetryWithoutTimeout() {
        ControllerHarness harness = new ControllerHarness(TestSettings.settings(
                false,
                100_000,
                0,
                TestSettings.TWO_TENANTS,
                TestSettings.requestClass(1000, 4000, Idempotency.IDEMPOTENT, 0, 0)));
        harness.advanceTo(1000)
                .arriveWithTimeout(1, 0, 0, false)
                .arriveWithTimeout(2, 0, 0, false)
                .decide();
        harness.advanceTo(1010)
                .arriveWithTimeout(3, 0, 0, false)
                .arriveWithTimeout(4, 0, 0, true)
                .decide();
        LoadGauges busy = new LoadGauges(1, 2, 0.1, 4);
        assertThat(harness.tickUntil(1290, busy)).doesNotContain("reject 3", "reject 4");
        assertThat(harness.tickUntil(1400, busy)).contains("reject 4").doesNotContain("reject 3");
    }

    @ParameterizedTest
    @CsvSource({"1, reject 30", "2, run 30"})
    void slowServerStartsProbeOnlyWhileNothingElseRuns(int completedRuns, String expectedAction) {
        ControllerHarness harness = new ControllerHarness(TestSettings.settings(
                false,
                100_000,
                0,
                TestSettings.TWO_TENANTS,
                TestSettings.requestClass(1000, 3000, Idempotency.IDEMPOTENT, 0.2, 0)));
        for (int i = 0; i < 10; i++) {
            harness.advanceTo(1010 + 110L * i).arrive(100 + i, 0, 0).decide();
            harness.advanceTo(1110 + 110L * i)
                    .complete(100 + i, Outcome.OK, 100)
                    .decide();
        }
        harness.advanceTo(3000).arrive(1, 0, 0).arrive(2, 0, 0).decide();
        harness.tickUntil(3950, ControllerHarness.BUSY_GAUGES);
        harness.advanceTo(3960).arrive(30, 1, 0, 600, 0);
        for (int i = 1; i <= completedRuns; i++) {
            harness.complete(i, Outcome.CANCELED, 950);
        }
        harness.decide();
        assertThat(harness.actions)
                .as("runs take nine times the usual time, and 400 ms remain to the objective")
                .contains(expectedAction);
    }
}
