package wheatspread.admission.sfq;

import wheatspread.admission.AdmissionSettings;
import wheatspread.admission.RequestClass;
import wheatspread.admission.ServerLimits;

/**
 * The settings in force. A reload may add request classes and change every other setting except the server's limits and
 * the answer margin, which keep their values from the start.
 */
final class ReloadableSettings {
    /** Margin before a request's deadline, in units of the wire's timer resolution. */
    private static final int ANSWER_MARGIN_TIMER_STEPS = 2;

    private final ServerLimits limits;
    private final long answerMarginMicros;
    private AdmissionSettings current;
    private long shortestObjectiveMicros;

    ReloadableSettings(AdmissionSettings initial) {
        limits = initial.limits();
        answerMarginMicros = ANSWER_MARGIN_TIMER_STEPS * Math.max(1, initial.timerResolutionMicros());
        apply(initial);
    }

    /**
     * Replaces the settings.
     *
     * @throws IllegalArgumentException if the new settings have fewer request classes, since tracked requests refer to
     *     their class by index
     */
    void replace(AdmissionSettings next) {
        if (next.classes().size() < current.classes().size()) {
            throw new IllegalArgumentException(
                    "settings reload has " + next.classes().size() + " request classes, expected at least "
                            + current.classes().size() + "; keeping the old settings");
        }
        apply(next);
    }

    private void apply(AdmissionSettings next) {
        current = next;
        shortestObjectiveMicros = next.classes().stream()
                .mapToLong(RequestClass::latencyObjectiveMicros)
                .min()
                .orElseThrow();
    }

    AdmissionSettings current() {
        return current;
    }

    /** Returns the server's limits as configured at the start. */
    ServerLimits limits() {
        return limits;
    }

    int coreCount() {
        return current.coreCount();
    }

    int classCount() {
        return current.classes().size();
    }

    /** Returns the shortest latency objective of all request classes. */
    long shortestObjectiveMicros() {
        return shortestObjectiveMicros;
    }

    /** Returns the minimum time between an answer and the deadline of its request; a late answer counts as a fault. */
    long answerMarginMicros() {
        return answerMarginMicros;
    }
}
