package wheatspread.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import wheatspread.admission.AdmissionSettings;
import wheatspread.admission.ClientSettings;
import wheatspread.admission.DependencyKind;
import wheatspread.admission.DependencyLimits;
import wheatspread.admission.Idempotency;
import wheatspread.admission.LoadFeedbackMode;
import wheatspread.admission.PreemptionMode;
import wheatspread.admission.RequestClass;
import wheatspread.admission.ServerLimits;

/** A site retuned at SIGHUP, and the keys of requests whose tries change class with it. */
class DeploymentSettingsTest {
    private static final long SECOND = 1_000_000;

    private static RequestClass keyed(long window) {
        return new RequestClass(3 * SECOND, 0, 9 * SECOND, Idempotency.IDEMPOTENCY_KEY, 5, 0, window, true, 0);
    }

    private static DeploymentSettings site(List<String> names, List<RequestClass> classes) {
        AdmissionSettings settings = new AdmissionSettings(
                2,
                1,
                false,
                PreemptionMode.SUSPEND,
                0,
                4_000,
                new ServerLimits(20_000, 8, 10, 6, 0.2, SECOND, 60_000, 5 * SECOND / 2),
                new DependencyLimits(DependencyKind.SHARED, 4, SECOND, 0),
                new ClientSettings(1, LoadFeedbackMode.NONE, 0, 0, true, 0, 0, 0),
                classes,
                List.of());
        return new DeploymentSettings(settings, names, List.of(), List.of());
    }

    @Test
    void classesKeepTheirIndexAndFiguresAndNewOnesComeAfter() {
        DeploymentSettings old = site(List.of("save", "plan"), List.of(keyed(20 * SECOND), keyed(5 * SECOND)));
        DeploymentSettings next = site(List.of("plan-r2", "plan"), List.of(keyed(7 * SECOND), keyed(1 * SECOND)));
        DeploymentSettings merged = old.retunedTo(next);
        assertThat(merged.classes()).containsExactly("save", "plan", "plan-r2");
        assertThat(merged.settings().classes())
                .extracting(RequestClass::idempotencyWindowMicros)
                .containsExactly(20 * SECOND, 5 * SECOND, 7 * SECOND);
        assertThat(merged.retunedTo(next).classes())
                .as("a second time, nothing new")
                .containsExactly("save", "plan", "plan-r2");
    }

    /** Seen on the bench: a request first tried as save-plan came again as save-plan-r2 and ran twice. */
    @Test
    void triesOfOneRequestShareTheirKeyWhateverTheirClass() {
        byte[] body = {1, 2};
        InboundRequest first = new InboundRequest("a", 3, 0, 0, 9 * SECOND, true, false, 20, 0, "5c0f", null, body);
        InboundRequest again =
                new InboundRequest("b", 4, 0, SECOND, 10 * SECOND, true, false, 20, 0, "5c0f", null, body);
        assertThat(IdempotencyTable.keyOf(again)).isEqualTo(IdempotencyTable.keyOf(first));
    }
}
