package wheatspread.admission.sfq;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import wheatspread.admission.AdmissionSettings;
import wheatspread.admission.Idempotency;
import wheatspread.admission.Outcome;
import wheatspread.admission.PreemptionMode;

/** When a request is given up, stopped, resumed or answered. */
class RequestLifecycleTest {
    @Test
    void preemptsCanceledRunUnlessJoined() {
        ControllerHarness harness =
                new ControllerHarness(TestSettings.withCacheTtl(TestSettings.defaults(), 1000)).at(1010);
        harness.arriveCacheable(1, 0, 0)
                .arriveCacheable(2, 0, 0)
                .arriveCacheable(3, 0, 1)
                .decide();
        harness.controller.onCancellation(1);
        harness.controller.onCancellation(2);
        assertThat(harness.tickUntil(1110, ControllerHarness.BUSY_GAUGES))
                .contains("preempt 2")
                .doesNotContain("preempt 1");
        harness.at(1120).complete(2, Outcome.CANCELED, 110).decide();
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
                .at(1010);
        harness.arrive(1, 0, 0).decide();
        List<String> all = harness.tickUntil(2110, ControllerHarness.BUSY_GAUGES);
        assertThat(all).contains("fail 1", "preempt 1");
        harness.at(2120).complete(1, Outcome.CANCELED, 1100).decide();
        assertThat(harness.actions).as("neither run again nor answered twice").isEmpty();
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
                .at(1010)
                .arrive(1, 0, 0)
                .decide();
        List<String> all = harness.tickUntil(2560, ControllerHarness.BUSY_GAUGES);
        assertThat(all).containsSubsequence("fail 1", "preempt 1");
        harness.at(2570)
                .complete(1, Outcome.CANCELED, 1560)
                .arrive(2, 0, 0)
                .arrive(3, 0, 0)
                .decide();
        assertThat(harness.actions)
                .as("its core is free and it gets no second answer")
                .contains("run 2", "run 3")
                .doesNotContain("fail 1");
    }

    @Test
    void answersEverythingByDeadline() {
        ControllerHarness harness = new ControllerHarness(TestSettings.settings(
                        false,
                        100_000,
                        0,
                        TestSettings.TWO_TENANTS,
                        TestSettings.requestClass(1000, 1500, Idempotency.IDEMPOTENT, 0.2, 0)))
                .at(1010);
        harness.arrive(1, 0, 0).arrive(2, 0, 0).arrive(3, 0, 0).decide();
        List<String> all = harness.tickUntil(2560, ControllerHarness.BUSY_GAUGES);
        assertThat(all).contains("reject 3", "fail 1", "preempt 1", "fail 2", "preempt 2");
    }

    @Test
    void drainingServerRunsNothingLateAndAnswersAll() {
        ControllerHarness harness = new ControllerHarness(TestSettings.defaults())
                .at(1010)
                .arrive(1, 0, 0)
                .decide();
        harness.at(1020);
        harness.controller.onDrain(1_900_000);
        harness.decide();
        harness.at(1990).arrive(2, 0, 0).decide();
        assertThat(harness.actions).contains("run 2");
        harness.at(2030).arrive(3, 0, 0).decide();
        assertThat(harness.actions).contains("reject 3");
        assertThat(harness.tickUntil(2880, ControllerHarness.BUSY_GAUGES)).contains("fail 2");
    }

    /** A suspended run whose answer is outstanding is resumed; a second suspension ends it. */
    @Test
    void resumesSuspendedRunOnce() {
        AdmissionSettings defaults = TestSettings.defaults();
        ControllerHarness harness = new ControllerHarness(new AdmissionSettings(
                defaults.cores(),
                defaults.servers(),
                false,
                PreemptionMode.SUSPEND,
                0,
                defaults.timerResolutionMicros(),
                defaults.limits(),
                defaults.dependency(),
                defaults.clients(),
                defaults.classes(),
                defaults.tenants()));
        harness.at(1010).arrive(1, 0, 1).decide();
        harness.at(1100).complete(1, Outcome.CANCELED, 90).decide();
        assertThat(harness.actions).contains("run 1").doesNotContain("fail 1");
        harness.at(1200).complete(1, Outcome.CANCELED, 90).decide();
        assertThat(harness.actions).contains("fail 1").doesNotContain("run 1");
        ControllerHarness abortingHarness = new ControllerHarness(defaults);
        abortingHarness.at(1010).arrive(1, 0, 1).decide();
        abortingHarness.at(1100).complete(1, Outcome.CANCELED, 90).decide();
        assertThat(abortingHarness.actions)
                .as("an aborted run would begin anew")
                .contains("fail 1");
    }

    @Test
    void ignoresEventsOfDoneRequests() {
        ControllerHarness harness = new ControllerHarness(TestSettings.defaults()).at(1010);
        harness.complete(5, Outcome.OK, 3);
        harness.controller.onBlocked(6);
        harness.controller.onCallCompleted(7, Outcome.OK, 1);
        harness.controller.onCancellation(8);
        harness.decide();
        assertThat(harness.actions).isEmpty();
    }
}
