package wheatspread.admission.sfq;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import wheatspread.admission.AdmissionSettings;
import wheatspread.admission.Idempotency;
import wheatspread.admission.Outcome;
import wheatspread.admission.PreemptionMode;

/** Tests when a request is abandoned, stopped, resumed or answered. */
class RequestLifecycleTest {
    @Test
    void preemptsCanceledRunUnlessJoined() {
        ControllerHarness harness =
                new ControllerHarness(TestSettings.withCacheTtl(TestSettings.defaults(), 1000)).advanceTo(1010);
        harness.arriveCacheable(1, 0, 0)
                .arriveCacheable(2, 0, 0)
                .arriveCacheable(3, 0, 1)
                .decide();
        harness.controller.onCancellation(1);
        harness.controller.onCancellation(2);
        assertThat(harness.tickUntil(1110, ControllerHarness.BUSY_GAUGES))
                .contains("preempt 2")
                .doesNotContain("preempt 1");
        harness.advanceTo(1120).complete(2, Outcome.CANCELED, 110).decide();
        harness.controller.onCancellation(3);
        assertThat(harness.tickUntil(1200, ControllerHarness.BUSY_GAUGES))
                .contains("preempt 1")
                .doesNotContain("preempt 2");
    }

    @Test
    void failsAndPreemptsAtMostOnceRunPastObjective() {
        ControllerHarness harness = new ControllerHarness(TestSettings.settings(
                        false,
                        100_000,
                        0,
                        TestSettings.TWO_TENANTS,
                        TestSettings.requestClass(1000, 3000, Idempotency.AT_MOST_ONCE, 0, 0)))
                .advanceTo(1010);
        harness.arrive(1, 0, 0).decide();
        List<String> allActions = harness.tickUntil(2110, ControllerHarness.BUSY_GAUGES);
        assertThat(allActions).contains("fail 1", "preempt 1");
        harness.advanceTo(2120).complete(1, Outcome.CANCELED, 1100).decide();
        assertThat(harness.actions)
                .as("the request is neither run again nor answered twice")
                .isEmpty();
    }

    @Test
    void preemptsSuspendableRunOnceAnswered() {
        AdmissionSettings defaults = TestSettings.defaults();
        ControllerHarness harness = new ControllerHarness(new AdmissionSettings(
                        2,
                        4,
                        false,
                        PreemptionMode.SUSPEND,
                        0,
                        2000,
                        defaults.limits(),
                        defaults.dependency(),
                        defaults.clients(),
                        defaults.classes(),
                        defaults.tenants()))
                .advanceTo(1010)
                .arrive(1, 0, 0)
                .decide();
        List<String> allActions = harness.tickUntil(2560, ControllerHarness.BUSY_GAUGES);
        assertThat(allActions).containsSubsequence("fail 1", "preempt 1");
        harness.advanceTo(2570)
                .complete(1, Outcome.CANCELED, 1560)
                .arrive(2, 0, 0)
                .arrive(3, 0, 0)
                .decide();
        assertThat(harness.actions)
                .as("the core of request 1 is free, and the request gets no second answer")
                .contains("run 2", "run 3")
                .doesNotContain("fail 1");
    }

    @Test
    void answersAllRequestsByDeadline() {
        ControllerHarness harness = new ControllerHarness(TestSettings.settings(
                        false,
                        100_000,
                        0,
                        TestSettings.TWO_TENANTS,
                        TestSettings.requestClass(1000, 1500, Idempotency.IDEMPOTENT, 0.2, 0)))
                .advanceTo(1010);
        harness.arrive(1, 0, 0).arrive(2, 0, 0).arrive(3, 0, 0).decide();
        List<String> allActions = harness.tickUntil(2560, ControllerHarness.BUSY_GAUGES);
        assertThat(allActions).contains("reject 3", "fail 1", "preempt 1", "fail 2", "preempt 2");
    }

    @Test
    void drainingServerRejectsArrivalsAfterGraceAndAnswersAll() {
        ControllerHarness harness = new ControllerHarness(TestSettings.defaults())
                .advanceTo(1010)
                .arrive(1, 0, 0)
                .decide();
        harness.advanceTo(1020);
        harness.controller.onDrain(1_900_000);
        harness.decide();
        harness.advanceTo(1990).arrive(2, 0, 0).decide();
        assertThat(harness.actions).contains("run 2");
        harness.advanceTo(2030).arrive(3, 0, 0).decide();
        assertThat(harness.actions).contains("reject 3");
        assertThat(harness.tickUntil(2880, ControllerHarness.BUSY_GAUGES)).contains("fail 2");
    }

    /** A suspended run whose request is unanswered is resumed once; after a second suspension the request fails. */
    @Test
    void resumesSuspendedRunOnce() {
        AdmissionSettings defaults = TestSettings.defaults();
        ControllerHarness harness = new ControllerHarness(new AdmissionSettings(
                defaults.coreCount(),
                defaults.serverCount(),
                false,
                PreemptionMode.SUSPEND,
                0,
                defaults.timerResolutionMicros(),
                defaults.limits(),
                defaults.dependency(),
                defaults.clients(),
                defaults.classes(),
                defaults.tenants()));
        harness.advanceTo(1010).arrive(1, 0, 1).decide();
        harness.advanceTo(1100).complete(1, Outcome.CANCELED, 90).decide();
        assertThat(harness.actions).contains("run 1").doesNotContain("fail 1");
        harness.advanceTo(1200).complete(1, Outcome.CANCELED, 90).decide();
        assertThat(harness.actions).contains("fail 1").doesNotContain("run 1");
        ControllerHarness abortingHarness = new ControllerHarness(defaults);
        abortingHarness.advanceTo(1010).arrive(1, 0, 1).decide();
        abortingHarness.advanceTo(1100).complete(1, Outcome.CANCELED, 90).decide();
        assertThat(abortingHarness.actions)
                .as("an aborted run would start from the beginning")
                .contains("fail 1");
    }

    private static AdmissionSettings withPreemption(PreemptionMode mode) {
        AdmissionSettings defaults = TestSettings.defaults();
        return new AdmissionSettings(
                defaults.coreCount(),
                defaults.serverCount(),
                false,
                mode,
                0,
                defaults.timerResolutionMicros(),
                defaults.limits(),
                defaults.dependency(),
                defaults.clients(),
                defaults.classes(),
                defaults.tenants());
    }

    /** Guards against two answers, or a run after the answer, when a run is canceled in the tick that expires it. */
    @ParameterizedTest
    @EnumSource
    void answersOnceIfRunIsCanceledInTickBeforeDeadline(PreemptionMode mode) {
        for (long timeoutMillis = 100; timeoutMillis < 300; timeoutMillis++) {
            ControllerHarness harness = new ControllerHarness(withPreemption(mode)).advanceTo(1010);
            harness.arriveWithTimeout(1, 1, timeoutMillis, false).decide();
            assertThat(harness.actions).contains("run 1");
            harness.advanceTo(1150).complete(1, Outcome.CANCELED, 140);
            harness.controller.onTimer(ControllerHarness.BUSY_GAUGES);
            harness.decide();
            assertThat(harness.actions.stream().filter(List.of("fail 1", "run 1")::contains))
                    .as("decisions on request 1 with a timeout of " + timeoutMillis + " ms")
                    .hasSize(1);
        }
    }

    /** Guards against an answer or a run for a client that cancels in the batch in which its run is canceled. */
    @Test
    void decidesNothingIfClientCancelsInBatchOfCanceledRun() {
        for (long timeMillis : new long[] {1100, 1105}) {
            ControllerHarness harness = new ControllerHarness(withPreemption(PreemptionMode.SUSPEND)).advanceTo(1010);
            harness.arrive(1, 0, 1).decide();
            harness.advanceTo(timeMillis).complete(1, Outcome.CANCELED, 90);
            harness.controller.onCancellation(1);
            harness.decide();
            assertThat(harness.actions).doesNotContain("fail 1", "run 1");
        }
    }

    @Test
    void ignoresEventsOfDoneRequests() {
        ControllerHarness harness = new ControllerHarness(TestSettings.defaults()).advanceTo(1010);
        harness.complete(5, Outcome.OK, 3);
        harness.controller.onBlocked(6);
        harness.controller.onCallCompleted(7, Outcome.OK, 1);
        harness.controller.onCancellation(8);
        harness.decide();
        assertThat(harness.actions).isEmpty();
    }
}
