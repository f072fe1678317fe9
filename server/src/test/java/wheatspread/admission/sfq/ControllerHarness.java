package wheatspread.admission.sfq;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import wheatspread.admission.AdmissionController;
import wheatspread.admission.AdmissionRequest;
import wheatspread.admission.AdmissionSettings;
import wheatspread.admission.LoadGauges;
import wheatspread.admission.Outcome;

/**
 * Passes events to an {@link SfqAdmissionController} and records its actions. All times are in milliseconds unless a
 * name says otherwise.
 */
final class ControllerHarness implements AdmissionController.Actions {
    static final LoadGauges BUSY_GAUGES = new LoadGauges(1, 2, 0.1, 3);
    static final LoadGauges IDLE_GAUGES = new LoadGauges(0.2, 1, 0.1, 3);

    final SfqAdmissionController controller;
    final List<String> actions = new ArrayList<>();
    final List<Long> retryAfterMicros = new ArrayList<>();
    final List<Long> idleTimeoutsMicros = new ArrayList<>();
    long nowMillis = 1000;

    ControllerHarness(AdmissionSettings settings) {
        controller = new SfqAdmissionController(settings, 1);
        advanceTo(nowMillis).decide();
    }

    ControllerHarness advanceTo(long timeMillis) {
        nowMillis = timeMillis;
        actions.clear();
        controller.beginBatch(timeMillis * 1000);
        return this;
    }

    ControllerHarness arrive(long id, int tenant, int requestClass) {
        return arrive(id, tenant, requestClass, 0, 0);
    }

    ControllerHarness arrive(long id, int tenant, int requestClass, long ageMillis, long duplicateOf) {
        controller.onArrival(new AdmissionRequest(
                id, tenant, requestClass, ageMillis * 1000, 0, duplicateOf, false, false, false, 20, 0));
        return this;
    }

    ControllerHarness arrive(AdmissionRequest request) {
        controller.onArrival(request);
        return this;
    }

    /** Reports the arrival of a read of class 0 with a cache key. */
    ControllerHarness arriveCacheable(long id, int tenant, long duplicateOf) {
        controller.onArrival(new AdmissionRequest(id, tenant, 0, 0, 0, duplicateOf, false, true, false, 20, 0));
        return this;
    }

    /** Reports the arrival of a request whose client still waits for {@code timeoutMillis}. */
    ControllerHarness arriveWithTimeout(long id, int requestClass, long timeoutMillis, boolean retry) {
        controller.onArrival(
                new AdmissionRequest(id, 0, requestClass, 0, timeoutMillis * 1000, 0, retry, false, false, 20, 0));
        return this;
    }

    /** Reports the arrival of a request of class 0 with a work hint. */
    ControllerHarness arriveWithHint(long id, int tenant, double hintMillis) {
        controller.onArrival(new AdmissionRequest(id, tenant, 0, 0, 0, 0, false, false, false, 20, hintMillis * 1000));
        return this;
    }

    ControllerHarness complete(long id, Outcome outcome, long elapsedMillis) {
        controller.onCompletion(id, outcome, elapsedMillis * 1000);
        return this;
    }

    ControllerHarness decide() {
        controller.decide(this);
        return this;
    }

    /** Runs a batch per tick up to {@code untilMillis} with the same gauge readings, and returns all actions. */
    List<String> tickUntil(long untilMillis, LoadGauges gauges) {
        List<String> allActions = new ArrayList<>();
        for (long timeMillis = nowMillis + 50; timeMillis <= untilMillis; timeMillis += 50) {
            advanceTo(timeMillis);
            controller.onTimer(gauges);
            decide();
            allActions.addAll(actions);
        }
        return allActions;
    }

    @Override
    public void run(long id) {
        actions.add("run " + id);
    }

    @Override
    public void reject(long id, long retryAfterDelayMicros, boolean doNotRetry) {
        actions.add("reject " + id);
        retryAfterMicros.add(retryAfterDelayMicros);
    }

    @Override
    public void fail(long id) {
        actions.add("fail " + id);
    }

    @Override
    public void preempt(long id) {
        actions.add("preempt " + id);
    }

    @Override
    public void callDependency(long id, long timeoutMicros) {
        actions.add("call " + id);
    }

    @Override
    public void skipDependency(long id) {
        actions.add("skip " + id);
    }

    @Override
    public void retainKey(long id, long ttlMicros) {
        actions.add("retain " + id);
    }

    @Override
    public void releaseKey(long id) {
        actions.add("release " + id);
    }

    @Override
    public void joinResult(long id) {
        actions.add("join " + id);
    }

    @Override
    public void setHealth(boolean healthy, boolean stored) {
        actions.add("health " + healthy);
    }

    @Override
    public void setLoadFeedback(double value) {
        actions.add("feedback " + value);
    }

    @Override
    public void setIdleTimeout(long timeoutMicros) {
        actions.add("idle " + timeoutMicros);
        idleTimeoutsMicros.add(timeoutMicros);
    }

    @Override
    public void scheduleWakeup(long delayMicros) {
        assertThat(delayMicros).isPositive();
    }

    @Override
    public void log(String text) {
        actions.add("log " + text);
    }
}
