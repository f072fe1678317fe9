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

/** Tests the reload of settings at SIGHUP, and the keys of requests whose attempts change class with a reload. */
class DeploymentSettingsTest {
    private static final long SECOND = 1_000_000;

    private static RequestClass idempotent(long windowMicros) {
        return new RequestClass(3 * SECOND, 0, 9 * SECOND, Idempotency.IDEMPOTENCY_KEY, 5, 0, windowMicros, true, 0);
    }

    private static DeploymentSettings settings(List<String> names, List<RequestClass> classes) {
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
    void reloadKeepsIndexesAndValuesOfClassesAndAppendsNewClasses() {
        DeploymentSettings old =
                settings(List.of("save", "plan"), List.of(idempotent(20 * SECOND), idempotent(5 * SECOND)));
        DeploymentSettings next =
                settings(List.of("plan-r2", "plan"), List.of(idempotent(7 * SECOND), idempotent(1 * SECOND)));
        DeploymentSettings merged = old.reloadedWith(next);
        assertThat(merged.classes()).containsExactly("save", "plan", "plan-r2");
        assertThat(merged.settings().classes())
                .extracting(RequestClass::idempotencyWindowMicros)
                .containsExactly(20 * SECOND, 5 * SECOND, 7 * SECOND);
        assertThat(merged.reloadedWith(next).classes())
                .as("the same reload again adds nothing")
                .containsExactly("save", "plan", "plan-r2");
    }

    /** Guards against a second run of a request that is sent as save-plan and, after a reload, as save-plan-r2. */
    @Test
    void attemptsOfARequestShareTheirKeyWhateverTheirClass() {
        byte[] body = {1, 2};
        InboundRequest first = new InboundRequest("a", 3, 0, 0, 9 * SECOND, true, false, 20, 0, "5c0f", null, body);
        InboundRequest retry =
                new InboundRequest("b", 4, 0, SECOND, 10 * SECOND, true, false, 20, 0, "5c0f", null, body);
        assertThat(IdempotencyTable.keyOf(retry)).isEqualTo(IdempotencyTable.keyOf(first));
    }
}
