package wheatspread.core;

import wheatspread.admission.AdmissionSettings;
import wheatspread.admission.RequestClass;

/**
 * The deployment settings in force. A reload adds request classes to them; all else stays. Owned by the core's
 * thread.
 */
final class ActiveSettings {
    private DeploymentSettings current;
    private boolean coldStart;

    ActiveSettings(DeploymentSettings initial) {
        current = initial;
    }

    DeploymentSettings current() {
        return current;
    }

    /** Merges reloaded settings into those in force; see {@link DeploymentSettings}. */
    void reload(DeploymentSettings next) {
        current = current.reloadedWith(next);
    }

    /** Notes whether the kernel started cold, as it said when it booted. */
    void setColdStart(boolean cold) {
        coldStart = cold;
    }

    /** The settings for the admission controller, which hold from the kernel's boot on. */
    AdmissionSettings forController() {
        return current.settings(coldStart);
    }

    /** The class with this index. */
    RequestClass requestClass(int index) {
        return current.settings().classes().get(index);
    }

    /** The name of the class with this index. */
    String className(int index) {
        return current.classes().get(index);
    }

    long drainGraceMicros() {
        return current.settings().limits().drainGraceMicros();
    }

    long warmUpMicros() {
        return current.settings().limits().warmUpMicros();
    }

    /** The longest Retry-After advice that clients may be given; 0 where the settings allow none. */
    long maxRetryAfterMicros() {
        return current.settings().clients().maxRetryAfterMicros();
    }
}
