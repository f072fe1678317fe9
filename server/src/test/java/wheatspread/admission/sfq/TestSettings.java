package wheatspread.admission.sfq;

import java.util.List;
import wheatspread.admission.AdmissionSettings;
import wheatspread.admission.ClientSettings;
import wheatspread.admission.DependencyKind;
import wheatspread.admission.DependencyLimits;
import wheatspread.admission.Idempotency;
import wheatspread.admission.LoadFeedbackMode;
import wheatspread.admission.PreemptionMode;
import wheatspread.admission.RequestClass;
import wheatspread.admission.ServerLimits;
import wheatspread.admission.Tenant;

/** Settings of a server with two cores for tests. All times are in milliseconds. */
final class TestSettings {
    static final List<Tenant> TWO_TENANTS = List.of(new Tenant(1), new Tenant(1));

    private TestSettings() {}

    static RequestClass requestClass(
            long objectiveMillis,
            long deadlineMillis,
            Idempotency idempotency,
            double lateWeightFactor,
            double degradedResponseWeight) {
        return new RequestClass(
                objectiveMillis * 1000,
                0,
                deadlineMillis * 1000,
                idempotency,
                1,
                lateWeightFactor,
                5_000_000,
                true,
                degradedResponseWeight);
    }

    static AdmissionSettings settings(
            boolean cold, double memoryKb, double maxConcurrentCalls, List<Tenant> tenants, RequestClass... classes) {
        return new AdmissionSettings(
                2,
                4,
                cold,
                PreemptionMode.ABORT,
                0,
                2000,
                new ServerLimits(memoryKb, 4, 10, 5, 0.2, 10_000_000, 60_000, 1_000_000),
                new DependencyLimits(
                        maxConcurrentCalls > 0 ? DependencyKind.SHARED : DependencyKind.NONE,
                        maxConcurrentCalls,
                        5_000_000,
                        200_000),
                new ClientSettings(2, LoadFeedbackMode.THRESHOLD, 1_000_000, 1_000_000, true, 15_000_000, 0, 0),
                List.of(classes),
                tenants);
    }

    /** Returns a copy of the settings with other client settings. */
    static AdmissionSettings withClients(AdmissionSettings base, ClientSettings clients) {
        return new AdmissionSettings(
                base.coreCount(),
                base.serverCount(),
                base.startsCold(),
                base.preemptionMode(),
                base.cacheTtlMicros(),
                base.timerResolutionMicros(),
                base.limits(),
                base.dependency(),
                clients,
                base.classes(),
                base.tenants());
    }

    /** Returns a copy of the settings with a cache for reads. */
    static AdmissionSettings withCacheTtl(AdmissionSettings base, long ttlMillis) {
        return new AdmissionSettings(
                base.coreCount(),
                base.serverCount(),
                base.startsCold(),
                base.preemptionMode(),
                ttlMillis * 1000,
                base.timerResolutionMicros(),
                base.limits(),
                base.dependency(),
                base.clients(),
                base.classes(),
                base.tenants());
    }

    static AdmissionSettings defaults() {
        return settings(
                false,
                100_000,
                0,
                TWO_TENANTS,
                requestClass(1000, 3000, Idempotency.IDEMPOTENT, 0, 0),
                requestClass(1000, 3000, Idempotency.IDEMPOTENCY_KEY, 0.2, 0));
    }
}
