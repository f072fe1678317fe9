package wheatspread.admission.sfq;

import wheatspread.admission.AdmissionSettings;
import wheatspread.admission.RequestClass;
import wheatspread.admission.ServerLimits;

/**
 * The settings in force. A reload adds request classes, and takes over what the host changed, except the server's
 * limits and the margin for late answers, which
 * stay as they were at start.
 */
final class ReloadableSettings {
    /** Margin before a request's deadline, in units of the timer resolution of the wire. */
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
     * @throws IllegalArgumentException if a request class is missing, since tracked requests refer to them by index
     */
    void replace(AdmissionSettings next) {
        if (next.classes().size() < current.classes().size()) {
            throw new IllegalArgumentException("a retuned site keeps every class it had");
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

    /** The server's limits as of the start. */
    ServerLimits limits() {
        return limits;
    }

    int cores() {
        return current.cores();
    }

    int classCount() {
        return current.classes().size();
    }

    /** The shortest latency objective of all request classes. */
    long shortestObjectiveMicros() {
        return shortestObjectiveMicros;
    }

    /** How long before its deadline a request is answered at the latest; a late answer counts as a fault. */
    long answerMarginMicros() {
        return answerMarginMicros;
    }
}
