package wheatspread.admission.sfq;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wheatspread.admission.AdmissionSettings;
import wheatspread.admission.ClientSettings;
import wheatspread.admission.LoadFeedbackMode;
import wheatspread.admission.LoadGauges;
import wheatspread.admission.Outcome;

/** Tests when idle connections are closed early. */
class IdleConnectionPolicyTest {
    @Test
    void idleTimeoutGrowsWithReadDelay() {
        AdmissionSettings base = TestSettings.defaults();
        ControllerHarness harness = new ControllerHarness(TestSettings.withClients(
                base, new ClientSettings(900, LoadFeedbackMode.NONE, 0, 0, false, 30_000_000, 0, 0)));
        harness.tickUntil(6000, new LoadGauges(0.5, 1, 0.1, 40));
        assertThat(harness.idleTimeoutsMicros).containsExactly(100_000L);
        harness.advanceTo(6010).arrive(1, 0, 0, 900, 0).arrive(2, 0, 0, 900, 0).decide();
        harness.tickUntil(6100, new LoadGauges(1, 2, 0.1, 90));
        assertThat(harness.idleTimeoutsMicros).containsExactly(100_000L, 1_000_000L);
    }

    @ParameterizedTest
    @CsvSource({
        "800, 60, 0, 0, true",
        "4, 4, 0, 0, false",
        "800, NaN, 0, 0, false",
        "800, 1, 0, 0, false",
        "4, 4, 0.5, 9, false",
        "100, 60, 0.001, 0.5, true"
    })
    void closesConnectionsOfManyInfrequentClientsEarly(
            int clients, double connections, double openCost, double idleCost, boolean closed) {
        ControllerHarness harness = new ControllerHarness(TestSettings.withClients(
                TestSettings.defaults(),
                new ClientSettings(
                        clients, LoadFeedbackMode.NONE, 1_000_000, 0, false, 15_000_000, openCost, idleCost)));
        List<String> allActions = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            harness.advanceTo(1100 + 50L * i);
            harness.controller.onTimer(new LoadGauges(0.5, 1, i * 0.001, connections));
            harness.arrive(i + 1, 0, 0).decide();
            allActions.addAll(harness.actions);
            harness.advanceTo(1120 + 50L * i).complete(i + 1, Outcome.OK, 20).decide();
        }
        assertThat(allActions.contains("idle 100000")).isEqualTo(closed);
        assertThat(allActions.stream()
                        .filter(action -> action.startsWith("idle"))
                        .count())
                .isEqualTo(closed ? 1 : 0);
    }

    @ParameterizedTest
    @CsvSource({"NaN, 0.001", "60, 0"})
    void failedConnectionGaugeStopsEarlyClosing(double connections, double change) {
        ControllerHarness harness = new ControllerHarness(TestSettings.withClients(
                TestSettings.defaults(),
                new ClientSettings(800, LoadFeedbackMode.NONE, 1_000_000, 0, false, 15_000_000, 0, 0)));
        List<String> allActions = new ArrayList<>();
        harness.arrive(1, 0, 1).decide();
        for (int i = 0; i < 120; i++) {
            harness.advanceTo(1100 + 50L * i);
            harness.controller.onTimer(
                    new LoadGauges(0.5, 1, (i < 60 ? 0.001 : change) * i, i < 60 ? 60 : connections));
            harness.arrive(10 + i, 0, 0).decide();
            allActions.addAll(harness.actions);
        }
        assertThat(allActions.stream().filter(action -> action.startsWith("idle")))
                .containsExactly("idle 100000", "idle 0");
    }

    @Test
    void keepsConnectionsOnceClientsSendFrequently() {
        ControllerHarness harness = new ControllerHarness(TestSettings.withClients(
                TestSettings.defaults(),
                new ClientSettings(100, LoadFeedbackMode.NONE, 1_000_000, 0, false, 15_000_000, 0, 0)));
        List<String> allActions = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            harness.advanceTo(1100 + 50L * i);
            harness.controller.onTimer(new LoadGauges(0.5, 1, i * 0.001, 60));
            for (int n = i < 100 ? 1 : 6; n > 0; n--) {
                harness.arrive(i * 10 + n, 0, 0, 2900, 0);
            }
            harness.decide();
            allActions.addAll(harness.actions);
        }
        assertThat(allActions.stream().filter(action -> action.startsWith("idle")))
                .containsExactly("idle 1000000", "idle 0");
    }
}
