package wheatspread.admission.sfq;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import wheatspread.admission.Idempotency;
import wheatspread.admission.Outcome;
import wheatspread.admission.RequestClass;
import wheatspread.admission.Tenant;

/** Tests which held request starts next and which held request is shed. */
class FairSchedulingTest {
    @Test
    void startsSmallestStartTagWhileSlotsAreFree() {
        ControllerHarness harness = new ControllerHarness(TestSettings.defaults()).advanceTo(1010);
        harness.arrive(1, 0, 0)
                .arrive(2, 0, 0)
                .arrive(3, 0, 0)
                .arrive(4, 0, 0)
                .arrive(5, 1, 0)
                .decide();
        assertThat(harness.actions).containsExactly("run 1", "run 5");
        harness.advanceTo(1100).complete(1, Outcome.OK, 90).decide();
        assertThat(harness.actions).containsExactly("run 2");
    }

    @Test
    void weighsFlowsByQuota() {
        ControllerHarness harness = new ControllerHarness(TestSettings.settings(
                        false,
                        100_000,
                        0,
                        List.of(new Tenant(3), new Tenant(1)),
                        TestSettings.requestClass(9000, 9000, Idempotency.IDEMPOTENT, 0, 0)))
                .advanceTo(1010);
        for (int i = 0; i < 8; i++) {
            harness.arrive(10 + i, 0, 0).arrive(20 + i, 1, 0);
        }
        harness.decide();
        harness.advanceTo(1020).complete(10, Outcome.FAILED, 0).decide();
        harness.advanceTo(1030).complete(20, Outcome.FAILED, 0).decide();
        harness.advanceTo(1040).complete(11, Outcome.FAILED, 0).decide();
        assertThat(harness.actions)
                .as("the third request of the heavier flow starts before the second of the lighter flow")
                .containsExactly("run 13");
    }

    @Test
    void idleFlowGainsNoCredit() {
        ControllerHarness harness = new ControllerHarness(TestSettings.defaults());
        for (int i = 0; i < 6; i++) {
            harness.advanceTo(1010 + 10L * i).arrive(i + 1, 0, 0).decide();
            harness.advanceTo(1015 + 10L * i).complete(i + 1, Outcome.OK, 5).decide();
        }
        harness.advanceTo(1200)
                .arrive(20, 1, 0)
                .arrive(21, 1, 0)
                .arrive(22, 1, 0)
                .arrive(23, 0, 0)
                .decide();
        harness.advanceTo(1210).complete(20, Outcome.OK, 10).decide();
        assertThat(harness.actions)
                .as("both flows start from v, so request 21 has the smallest start tag")
                .isEqualTo(List.of("run 21"));
    }

    @Test
    void rejectionRemovesChargeFromLaterTags() {
        ControllerHarness harness = new ControllerHarness(TestSettings.defaults()).advanceTo(1010);
        harness.arrive(1, 0, 0)
                .arrive(2, 0, 0)
                .arrive(3, 0, 0, 990, 0)
                .arrive(4, 0, 0)
                .arrive(5, 1, 0)
                .arrive(6, 1, 0)
                .decide();
        assertThat(harness.tickUntil(1060, ControllerHarness.BUSY_GAUGES)).contains("reject 3");
        harness.advanceTo(1100)
                .complete(1, Outcome.OK, 90)
                .complete(5, Outcome.OK, 90)
                .decide();
        assertThat(harness.actions).containsExactly("run 2", "run 6");
        harness.advanceTo(1200).arrive(7, 1, 0).complete(2, Outcome.OK, 100).decide();
        assertThat(harness.actions)
                .as("request 4 takes over the tag of the rejected request 3")
                .containsExactly("run 4");
    }

    @Test
    void shedsRequestWithJoinersAfterOthers() {
        ControllerHarness harness =
                new ControllerHarness(TestSettings.withCacheTtl(TestSettings.defaults(), 1000)).advanceTo(1010);
        harness.arrive(1, 0, 0).arrive(2, 0, 0).decide();
        harness.advanceTo(1410)
                .complete(1, Outcome.OK, 400)
                .complete(2, Outcome.OK, 400)
                .decide();
        harness.advanceTo(1420)
                .arriveCacheable(9, 0, 0)
                .arriveCacheable(10, 0, 0)
                .arriveCacheable(11, 0, 0)
                .arriveCacheable(12, 0, 0)
                .arriveCacheable(13, 0, 0)
                .arriveCacheable(20, 0, 13)
                .decide();
        assertThat(harness.actions).contains("reject 12").doesNotContain("reject 13");
    }

    @Test
    void shedsNewestRequestOfFlowWithLargestLead() {
        ControllerHarness harness = new ControllerHarness(TestSettings.defaults()).advanceTo(1010);
        harness.arrive(1, 0, 0).arrive(2, 0, 0).decide();
        harness.advanceTo(1410)
                .complete(1, Outcome.OK, 400)
                .complete(2, Outcome.OK, 400)
                .decide();
        harness.tickUntil(1460, ControllerHarness.BUSY_GAUGES);
        harness.advanceTo(1470);
        for (int i = 10; i < 20; i++) {
            harness.arrive(i, 0, 0);
        }
        harness.arrive(30, 1, 0).decide();
        assertThat(harness.actions).contains("run 30", "reject 19").doesNotContain("reject 30", "reject 11");
    }

    @Test
    void keepsOnlyRequestOfTenantWithSmallQuota() {
        ControllerHarness harness = new ControllerHarness(TestSettings.settings(
                        false,
                        100_000,
                        0,
                        List.of(new Tenant(5), new Tenant(1)),
                        TestSettings.requestClass(1000, 3000, Idempotency.IDEMPOTENT, 0, 0)))
                .advanceTo(1010);
        harness.arrive(1, 0, 0).arrive(2, 0, 0).decide();
        harness.advanceTo(1410)
                .complete(1, Outcome.OK, 400)
                .complete(2, Outcome.OK, 400)
                .decide();
        harness.advanceTo(1420)
                .arrive(10, 0, 0)
                .arrive(11, 0, 0)
                .arrive(30, 1, 0)
                .decide();
        harness.advanceTo(1430)
                .arrive(12, 0, 0)
                .arrive(13, 0, 0)
                .arrive(14, 0, 0)
                .decide();
        assertThat(harness.actions)
                .as("a request of the small tenant is charged five times as much as one of the large tenant")
                .contains("reject 14")
                .doesNotContain("reject 30");
    }

    @Test
    void roundsHeldQueueBoundUpToWholeRequest() {
        ControllerHarness harness = new ControllerHarness(TestSettings.defaults()).advanceTo(1010);
        harness.arrive(1, 0, 0).arrive(2, 0, 0).decide();
        harness.advanceTo(1610)
                .complete(1, Outcome.OK, 600)
                .complete(2, Outcome.OK, 600)
                .decide();
        harness.advanceTo(1620).arrive(3, 0, 0).arrive(4, 0, 0).arrive(5, 0, 0).decide();
        assertThat(harness.actions)
                .as("one held request drains in 300 ms, the bound is 240 ms")
                .isEqualTo(List.of("run 3", "run 4"));
        harness.advanceTo(1630).arrive(6, 0, 0).decide();
        assertThat(harness.actions).isEqualTo(List.of("reject 6"));
    }

    @Test
    void shedsLeastWeightOfFlowWithLargestLead() {
        RequestClass heavy = new RequestClass(1_000_000, 0, 3_000_000, Idempotency.IDEMPOTENT, 5, 0, 0, false, 0);
        ControllerHarness harness = new ControllerHarness(TestSettings.settings(
                        false,
                        100_000,
                        0,
                        TestSettings.TWO_TENANTS,
                        TestSettings.requestClass(1000, 3000, Idempotency.IDEMPOTENT, 0, 0),
                        heavy))
                .advanceTo(1010);
        harness.arrive(1, 0, 0).arrive(2, 0, 0).decide();
        harness.advanceTo(1410)
                .complete(1, Outcome.OK, 400)
                .complete(2, Outcome.OK, 400)
                .decide();
        harness.advanceTo(1420)
                .arrive(9, 0, 0)
                .arrive(10, 0, 0)
                .arrive(11, 0, 0)
                .arrive(12, 0, 1)
                .arrive(13, 0, 1)
                .arrive(14, 0, 1)
                .decide();
        assertThat(harness.actions).contains("reject 11").doesNotContain("reject 12", "reject 13", "reject 14");
    }

    @Test
    void keepsSecondRequestOfTenantWithFewRecentRuns() {
        ControllerHarness harness = new ControllerHarness(TestSettings.settings(
                false,
                100_000,
                0,
                List.of(new Tenant(5), new Tenant(1)),
                TestSettings.requestClass(1000, 3000, Idempotency.IDEMPOTENT, 0, 0)));
        for (int i = 0; i < 10; i++) {
            harness.advanceTo(1010 + 410L * i)
                    .arrive(100 + i, 0, 0)
                    .arrive(200 + i, 0, 0)
                    .decide();
            harness.advanceTo(1410 + 410L * i)
                    .complete(100 + i, Outcome.OK, 400)
                    .complete(200 + i, Outcome.OK, 400)
                    .decide();
        }
        harness.advanceTo(5150)
                .arrive(1, 0, 0)
                .arrive(2, 0, 0)
                .arrive(3, 0, 0)
                .arrive(4, 0, 0)
                .arrive(10, 1, 0)
                .arrive(11, 1, 0)
                .decide();
        assertThat(harness.actions).contains("run 10").doesNotContain("reject 11");
        assertThat(harness.actions.stream().filter(action -> action.startsWith("reject")))
                .isNotEmpty();
    }

    @Test
    void spreadsRetryAfterOfRejectedClients() {
        List<List<Long>> delaysByProcess = new ArrayList<>();
        for (int process = 0; process < 2; process++) {
            ControllerHarness harness = new ControllerHarness(TestSettings.defaults()).advanceTo(1010);
            for (int i = 0; i < 60; i++) {
                harness.arrive(i + 1, i % 2, 0);
            }
            harness.decide();
            delaysByProcess.add(harness.retryAfterMicros);
        }
        List<Long> positiveDelaysMicros = delaysByProcess.get(0).stream()
                .filter(delayMicros -> delayMicros > 0)
                .toList();
        assertThat(positiveDelaysMicros)
                .hasSizeGreaterThan(20)
                .allMatch(delayMicros -> delayMicros >= 333_333 && delayMicros <= 666_667)
                .doesNotHaveDuplicates();
        assertThat(delaysByProcess.get(1))
                .as("equal seed and events give equal delays")
                .isEqualTo(delaysByProcess.get(0));
    }
}
