package wheatspread.core;

import wheatspread.admission.AdmissionSettings;
import wheatspread.admission.RequestClass;

/**
 * The deployment settings in force. A reload adds request classes and changes nothing else. Owned by the core's
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

    /** Records whether the kernel started cold, as its boot notice reports. */
    void setColdStart(boolean cold) {
        coldStart = cold;
    }

    /** Returns the settings for the admission controller, valid once the kernel has booted. */
    AdmissionSettings forController() {
        return current.settings(coldStart);
    }

    RequestClass requestClass(int index) {
        return current.settings().classes().get(index);
    }

    String className(int index) {
        return current.classes().get(index);
    }

    long drainGraceMicros() {
        return current.settings().limits().drainGraceMicros();
    }

    long warmUpMicros() {
        return current.settings().limits().warmUpMicros();
    }

    /** Returns the longest Retry-After advice for clients, in microseconds; 0 if the settings allow none. */
    long maxRetryAfterMicros() {
        return current.settings().clients().maxRetryAfterMicros();
    }
}
