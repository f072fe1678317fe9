package wheatspread.admission.sfq;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wheatspread.admission.ClientSettings;
import wheatspread.admission.Idempotency;
import wheatspread.admission.LoadFeedbackMode;
import wheatspread.admission.Outcome;
import wheatspread.admission.Tenant;

/** What clients hear about the load, and when the server counts as overloaded. */
class LoadFeedbackTest {
    /** Cores must not stay idle because clients still follow the feedback of an overload that is over. */
    @Test
    void windowRecoversAfterOverload() {
        ControllerHarness harness = new ControllerHarness(TestSettings.withClients(
                TestSettings.defaults(),
                new ClientSettings(2, LoadFeedbackMode.WINDOW, 1_000_000, 1_000_000, true, 15_000_000, 0, 0)));
        for (int i = 0; i < 10; i++) {
            harness.at(1010 + 10L * i).arrive(i + 1, 0, 0, 600, 0).decide();
        }
        List<String> all = harness.tickUntil(1500, ControllerHarness.IDLE_GAUGES);
        assertThat(all).as("2 D for two clients at the worst").contains("feedback 1.0");
        harness.at(1510);
        for (int i = 0; i < 10; i++) {
            harness.complete(i + 1, Outcome.OK, 100);
        }
        harness.decide();
        List<String> feedback = harness.tickUntil(9000, ControllerHarness.IDLE_GAUGES);
        feedback.removeIf(action -> !action.startsWith("feedback"));
        assertThat(Double.parseDouble(feedback.get(feedback.size() - 1).substring("feedback ".length())))
                .as("four times what it is at rest")
                .isGreaterThan(16);
    }

    /** Clients must not fill the window of a warm server while it is cold. */
    @Test
    void coldServerWindowFollowsProvenSpeed() {
        ClientSettings clients =
                new ClientSettings(2, LoadFeedbackMode.WINDOW, 1_000_000, 1_000_000, true, 15_000_000, 0, 0);
        ControllerHarness harness = new ControllerHarness(TestSettings.withClients(
                TestSettings.settings(
                        true,
                        100_000,
                        0,
                        TestSettings.TWO_TENANTS,
                        TestSettings.requestClass(1000, 3000, Idempotency.IDEMPOTENT, 0, 0)),
                clients));
        assertThat(lastFeedback(harness.actions))
                .as("a fifth of the speed is guaranteed")
                .isLessThan(2);
        double later = lastFeedback(harness.tickUntil(6000, ControllerHarness.IDLE_GAUGES));
        assertThat(later).as("half of the time to warm").isBetween(3.0, 6.0);
        List<String> all = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            harness.at(6010 + 100L * i).arriveWithHint(i + 1, 0, 50).decide();
            all.addAll(harness.actions);
            harness.at(6060 + 100L * i).complete(i + 1, Outcome.OK, 50).decide();
            all.addAll(harness.actions);
        }
        all.addAll(harness.tickUntil(7500, ControllerHarness.IDLE_GAUGES));
        assertThat(lastFeedback(all)).as("its runs took what their hints say").isGreaterThan(7);
    }

    @ParameterizedTest
    @CsvSource({"20, true", "2, false"})
    void overloadWithholdsLoadUntilBacklogIsRead(double quota, boolean leavesBalancer) {
        ControllerHarness harness = new ControllerHarness(TestSettings.settings(
                false,
                100_000,
                0,
                List.of(new Tenant(quota), new Tenant(quota)),
                TestSettings.requestClass(1000, 3000, Idempotency.IDEMPOTENT, 0, 0)));
        List<String> all = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            harness.arrive(i + 1, 0, 0, 2000, 0);
            all.addAll(harness.tickUntil(harness.nowMillis + 150, ControllerHarness.BUSY_GAUGES));
            harness.at(harness.nowMillis + 1);
        }
        harness.decide();
        assertThat(all).contains("feedback 1.0", "log jam of unread tries begins");
        assertThat(all.contains("health false"))
                .as("7 requests a second come; of 4 servers, one that is slow"
                        + " leaves, all of a flooded fleet would not")
                .isEqualTo(leavesBalancer);
        all = harness.tickUntil(harness.nowMillis + 6000, ControllerHarness.IDLE_GAUGES);
        assertThat(all).as("no requests arrive any more").contains("log jam of unread tries ends");
        assertThat(all.contains("health true")).isEqualTo(leavesBalancer);
    }

    @Test
    void burstAfterStallIsNoOverload() {
        ControllerHarness harness = new ControllerHarness(TestSettings.defaults());
        harness.tickUntil(2000, ControllerHarness.IDLE_GAUGES);
        harness.at(2900);
        for (int i = 0; i < 10; i++) {
            harness.arrive(i + 1, i % 2, 0, 800, 0);
        }
        harness.controller.onTimer(ControllerHarness.IDLE_GAUGES);
        harness.decide();
        assertThat(harness.actions).noneMatch(a -> a.startsWith("feedback 1") || a.startsWith("health"));
    }

    private static double lastFeedback(List<String> all) {
        List<String> feedback =
                all.stream().filter(action -> action.startsWith("feedback")).toList();
        return Double.parseDouble(feedback.get(feedback.size() - 1).substring("feedback ".length()));
    }
}
