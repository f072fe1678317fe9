package wheatspread.admission.sfq;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import wheatspread.admission.Idempotency;
import wheatspread.admission.Outcome;

/** Tests when dependency calls are made or skipped, and when their requests are abandoned. */
class DependencyCallsTest {
    @Test
    void boundsCallsAndSkipsOptionalAndFailsUnsafeCalls() {
        ControllerHarness harness = new ControllerHarness(TestSettings.settings(
                false,
                100_000,
                0.5,
                TestSettings.TWO_TENANTS,
                TestSettings.requestClass(1000, 3000, Idempotency.IDEMPOTENCY_KEY, 0.2, 0),
                TestSettings.requestClass(1000, 3000, Idempotency.IDEMPOTENT, 0, 0.5)));
        harness.advanceTo(1010).arrive(1, 0, 0).arrive(2, 1, 1).decide();
        harness.advanceTo(1020);
        harness.controller.onBlocked(1);
        harness.controller.onBlocked(2);
        harness.decide();
        assertThat(harness.actions).contains("call 1").doesNotContain("call 2");
        assertThat(harness.tickUntil(1300, ControllerHarness.BUSY_GAUGES)).contains("skip 2");
        harness.advanceTo(1310);
        harness.controller.onCallCompleted(1, Outcome.TIMED_OUT, 290_000);
        harness.decide();
        assertThat(harness.actions)
                .as("the call may have taken effect, so it is not repeated")
                .containsExactly("fail 1");
    }

    @Test
    void hangingCallsLowerBoundBeforeAnyCallEnds() {
        ControllerHarness harness = new ControllerHarness(TestSettings.settings(
                false,
                100_000,
                5,
                TestSettings.TWO_TENANTS,
                TestSettings.requestClass(9000, 20_000, Idempotency.IDEMPOTENCY_KEY, 0, 0)));
        long id = 0;
        for (int i = 0; i < 20; i++) {
            harness.advanceTo(1010 + 50L * i).arrive(++id, 0, 0).decide();
            harness.advanceTo(1020 + 50L * i);
            harness.controller.onBlocked(id);
            harness.decide();
            harness.advanceTo(1030 + 50L * i);
            harness.controller.onCallCompleted(id, Outcome.OK, 10_000);
            harness.decide();
            harness.advanceTo(1040 + 50L * i).complete(id, Outcome.OK, 30).decide();
        }
        int calls = 0;
        for (int i = 0; i < 15; i++) {
            harness.advanceTo(3000 + 200L * i).arrive(++id, 0, 0);
            harness.controller.onTimer(ControllerHarness.BUSY_GAUGES);
            harness.decide();
            harness.advanceTo(3010 + 200L * i);
            harness.controller.onBlocked(id);
            harness.decide();
            calls += harness.actions.stream()
                    .filter(action -> action.startsWith("call"))
                    .count();
        }
        assertThat(calls)
                .as("calls made out of the 10 that may be outstanding in a burst, with none ended")
                .isBetween(1, 6);
    }

    @Test
    void singleHangingCallDoesNotLowerBound() {
        ControllerHarness harness = new ControllerHarness(TestSettings.settings(
                false,
                100_000,
                5,
                TestSettings.TWO_TENANTS,
                TestSettings.requestClass(9000, 20_000, Idempotency.IDEMPOTENCY_KEY, 0, 0)));
        long id = 0;
        for (int i = 0; i < 60; i++) {
            harness.advanceTo(1010 + 50L * i).arrive(++id, 0, 0);
            harness.controller.onTimer(ControllerHarness.BUSY_GAUGES);
            harness.decide();
            harness.advanceTo(1020 + 50L * i);
            harness.controller.onBlocked(id);
            harness.decide();
            if (i != 20) {
                harness.advanceTo(1030 + 50L * i);
                harness.controller.onCallCompleted(id, Outcome.OK, 10_000);
                harness.decide();
                harness.advanceTo(1040 + 50L * i).complete(id, Outcome.OK, 30).decide();
            }
        }
        int calls = 0;
        for (int i = 0; i < 6; i++) {
            harness.advanceTo(4010 + 5L * i).arrive(++id, 0, 0).decide();
            harness.advanceTo(4012 + 5L * i);
            harness.controller.onBlocked(id);
            harness.decide();
            calls += harness.actions.stream()
                    .filter(action -> action.startsWith("call"))
                    .count();
        }
        assertThat(calls).as("calls of a burst while one call hangs").isEqualTo(6);
    }

    @Test
    void repeatsCallThatWasNeverReceived() {
        ControllerHarness harness = new ControllerHarness(TestSettings.settings(
                false,
                100_000,
                2,
                TestSettings.TWO_TENANTS,
                TestSettings.requestClass(1000, 3000, Idempotency.IDEMPOTENCY_KEY, 0.2, 0)));
        harness.advanceTo(1010).arrive(1, 0, 0).decide();
        harness.advanceTo(1020);
        harness.controller.onBlocked(1);
        harness.decide();
        harness.advanceTo(1030);
        harness.controller.onCallCompleted(1, Outcome.QUEUE_FULL, 10_000);
        harness.decide();
        assertThat(harness.actions)
                .as("a dependency with a full queue is not called again at once")
                .isEmpty();
        assertThat(harness.tickUntil(1080, ControllerHarness.BUSY_GAUGES)).containsExactly("call 1");
        harness.controller.onCallCompleted(1, Outcome.QUEUE_FULL, 10_000);
        assertThat(harness.tickUntil(1130, ControllerHarness.BUSY_GAUGES))
                .as("the second backoff is longer")
                .isEmpty();
        assertThat(harness.tickUntil(1280, ControllerHarness.BUSY_GAUGES)).containsExactly("call 1");
    }
}
