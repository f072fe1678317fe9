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

/** Tests the load feedback to clients, and when the server counts as overloaded. */
class LoadFeedbackTest {
    /** Guards against idle cores after an overload, when clients still follow the feedback of that overload. */
    @Test
    void windowRecoversAfterOverload() {
        ControllerHarness harness = new ControllerHarness(TestSettings.withClients(
                TestSettings.defaults(),
                new ClientSettings(2, LoadFeedbackMode.WINDOW, 1_000_000, 1_000_000, true, 15_000_000, 0, 0)));
        for (int i = 0; i < 10; i++) {
            harness.advanceTo(1010 + 10L * i).arrive(i + 1, 0, 0, 600, 0).decide();
        }
        List<String> allActions = harness.tickUntil(1500, ControllerHarness.IDLE_GAUGES);
        assertThat(allActions)
                .as("at the minimum, 2 D are divided between two clients")
                .contains("feedback 1.0");
        harness.advanceTo(1510);
        for (int i = 0; i < 10; i++) {
            harness.complete(i + 1, Outcome.OK, 100);
        }
        harness.decide();
        List<String> feedback = harness.tickUntil(9000, ControllerHarness.IDLE_GAUGES);
        feedback.removeIf(action -> !action.startsWith("feedback"));
        assertThat(Double.parseDouble(feedback.get(feedback.size() - 1).substring("feedback ".length())))
                .as("four times the base window")
                .isGreaterThan(16);
    }

    /** Guards against an overload at a cold start, when clients would fill the window of a warm server. */
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
        assertThat(later).as("half of the warm-up time has passed").isBetween(3.0, 6.0);
        List<String> allActions = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            harness.advanceTo(6010 + 100L * i).arriveWithHint(i + 1, 0, 50).decide();
            allActions.addAll(harness.actions);
            harness.advanceTo(6060 + 100L * i).complete(i + 1, Outcome.OK, 50).decide();
            allActions.addAll(harness.actions);
        }
        allActions.addAll(harness.tickUntil(7500, ControllerHarness.IDLE_GAUGES));
        assertThat(lastFeedback(allActions))
                .as("runs took the time that their hints predict at full speed")
                .isGreaterThan(7);
    }

    @ParameterizedTest
    @CsvSource({"20, true", "2, false"})
    void overloadReducesFeedbackUntilBacklogIsRead(double quota, boolean becomesUnhealthy) {
        ControllerHarness harness = new ControllerHarness(TestSettings.settings(
                false,
                100_000,
                0,
                List.of(new Tenant(quota), new Tenant(quota)),
                TestSettings.requestClass(1000, 3000, Idempotency.IDEMPOTENT, 0, 0)));
        List<String> allActions = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            harness.arrive(i + 1, 0, 0, 2000, 0);
            allActions.addAll(harness.tickUntil(harness.nowMillis + 150, ControllerHarness.BUSY_GAUGES));
            harness.advanceTo(harness.nowMillis + 1);
        }
        harness.decide();
        assertThat(allActions).contains("feedback 1.0", "log jam of unread tries begins");
        assertThat(allActions.contains("health false"))
                .as("7 requests per second arrive; of 4 servers, a single slow server"
                        + " reports unhealthy, while those of an overloaded fleet do not")
                .isEqualTo(becomesUnhealthy);
        allActions = harness.tickUntil(harness.nowMillis + 6000, ControllerHarness.IDLE_GAUGES);
        assertThat(allActions).as("no more requests arrive").contains("log jam of unread tries ends");
        assertThat(allActions.contains("health true")).isEqualTo(becomesUnhealthy);
    }

    @Test
    void burstAfterStallIsNotOverload() {
        ControllerHarness harness = new ControllerHarness(TestSettings.defaults());
        harness.tickUntil(2000, ControllerHarness.IDLE_GAUGES);
        harness.advanceTo(2900);
        for (int i = 0; i < 10; i++) {
            harness.arrive(i + 1, i % 2, 0, 800, 0);
        }
        harness.controller.onTimer(ControllerHarness.IDLE_GAUGES);
        harness.decide();
        assertThat(harness.actions).noneMatch(action -> action.startsWith("feedback 1") || action.startsWith("health"));
    }

    private static double lastFeedback(List<String> allActions) {
        List<String> feedback = allActions.stream()
                .filter(action -> action.startsWith("feedback"))
                .toList();
        return Double.parseDouble(feedback.get(feedback.size() - 1).substring("feedback ".length()));
    }
}
