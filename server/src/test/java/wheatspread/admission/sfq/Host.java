package wheatspread.admission.sfq;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import wheatspread.admission.AdmissionController;
import wheatspread.admission.AdmissionRequest;
import wheatspread.admission.AdmissionSettings;
import wheatspread.admission.ClientSettings;
import wheatspread.admission.DependencyKind;
import wheatspread.admission.DependencyLimits;
import wheatspread.admission.Idempotency;
import wheatspread.admission.LoadFeedbackMode;
import wheatspread.admission.LoadGauges;
import wheatspread.admission.Outcome;
import wheatspread.admission.PreemptionMode;
import wheatspread.admission.RequestClass;
import wheatspread.admission.ServerLimits;
import wheatspread.admission.Tenant;

/** Feeds one {@link SfqAdmissionController} and writes down what it does; times in milliseconds. */
final class Host implements AdmissionController.Actions {
    static final LoadGauges BUSY = new LoadGauges(1, 2, 0.1, 3);
    static final LoadGauges IDLE = new LoadGauges(0.2, 1, 0.1, 3);

    final SfqAdmissionController choice;
    final List<String> done = new ArrayList<>();
    final List<Long> stays = new ArrayList<>();
    final List<Long> idles = new ArrayList<>();
    long now = 1000;

    Host(AdmissionSettings settings) {
        choice = new SfqAdmissionController(settings, 1);
        at(now).end();
    }

    static RequestClass kind(long aim, long deadline, Idempotency effect, double lateWorth, double skipWorth) {
        return new RequestClass(aim * 1000, 0, deadline * 1000, effect, 1, lateWorth, 5_000_000, true, skipWorth);
    }

    static AdmissionSettings settings(
            boolean cold, double memoryKb, double callsOut, List<Tenant> tenants, RequestClass... kinds) {
        return new AdmissionSettings(
                2,
                4,
                cold,
                PreemptionMode.ABORT,
                0,
                2000,
                new ServerLimits(memoryKb, 4, 10, 5, 0.2, 10_000_000, 60_000, 1_000_000),
                new DependencyLimits(
                        callsOut > 0 ? DependencyKind.SHARED : DependencyKind.NONE, callsOut, 5_000_000, 200_000),
                new ClientSettings(2, LoadFeedbackMode.THRESHOLD, 1_000_000, 1_000_000, true, 15_000_000, 0, 0),
                List.of(kinds),
                tenants);
    }

    static AdmissionSettings with(AdmissionSettings s, ClientSettings callers) {
        return new AdmissionSettings(
                s.cores(),
                s.servers(),
                s.cold(),
                s.preemptionMode(),
                s.cacheTtlMicros(),
                s.timerResolutionMicros(),
                s.limits(),
                s.dependency(),
                callers,
                s.classes(),
                s.tenants());
    }

    /** The same with answers of reads that may be shared for this long. */
    static AdmissionSettings fresh(AdmissionSettings s, long fresh) {
        return new AdmissionSettings(
                s.cores(),
                s.servers(),
                s.cold(),
                s.preemptionMode(),
                fresh * 1000,
                s.timerResolutionMicros(),
                s.limits(),
                s.dependency(),
                s.clients(),
                s.classes(),
                s.tenants());
    }

    static AdmissionSettings plain() {
        return settings(
                false,
                100_000,
                0,
                List.of(new Tenant(1), new Tenant(1)),
                kind(1000, 3000, Idempotency.IDEMPOTENT, 0, 0),
                kind(1000, 3000, Idempotency.IDEMPOTENCY_KEY, 0.2, 0));
    }

    Host at(long time) {
        now = time;
        done.clear();
        choice.beginBatch(time * 1000);
        return this;
    }

    Host arrive(long id, int tenant, int kind) {
        return arrive(id, tenant, kind, 0, 0);
    }

    Host arrive(long id, int tenant, int kind, long age, long duplicateOf) {
        choice.onArrival(
                new AdmissionRequest(id, tenant, kind, age * 1000, 0, duplicateOf, false, false, false, 20, 0));
        return this;
    }

    Host arrive(AdmissionRequest request) {
        choice.onArrival(request);
        return this;
    }

    /** A read with a key, of class 0. */
    Host read(long id, int tenant, long duplicateOf) {
        choice.onArrival(new AdmissionRequest(id, tenant, 0, 0, 0, duplicateOf, false, true, false, 20, 0));
        return this;
    }

    /** A request whose caller still waits for {@code left}; a further try if marked so. */
    Host waits(long id, int kind, long left, boolean further) {
        choice.onArrival(new AdmissionRequest(id, 0, kind, 0, left * 1000, 0, further, false, false, 20, 0));
        return this;
    }

    /** A request of class 0 with a hint. */
    Host hinted(long id, int tenant, double hint) {
        choice.onArrival(new AdmissionRequest(id, tenant, 0, 0, 0, 0, false, false, false, 20, hint * 1000));
        return this;
    }

    Host ended(long id, Outcome outcome, long elapsed) {
        choice.onCompletion(id, outcome, elapsed * 1000);
        return this;
    }

    Host end() {
        choice.decide(this);
        return this;
    }

    /** Lets ticks pass up to {@code until} with the same reading; keeps all actions of the way. */
    List<String> ticks(long until, LoadGauges gauges) {
        List<String> all = new ArrayList<>();
        for (long t = now + 50; t <= until; t += 50) {
            at(t);
            choice.onTimer(gauges);
            end();
            all.addAll(done);
        }
        return all;
    }

    @Override
    public void run(long id) {
        done.add("run " + id);
    }

    @Override
    public void reject(long id, long stayAway, boolean dontRetry) {
        done.add("refuse " + id);
        stays.add(stayAway);
    }

    @Override
    public void fail(long id) {
        done.add("fail " + id);
    }

    @Override
    public void preempt(long id) {
        done.add("stop " + id);
    }

    @Override
    public void callDependency(long id, long giveUpAfter) {
        done.add("call " + id);
    }

    @Override
    public void skipDependency(long id) {
        done.add("skip " + id);
    }

    @Override
    public void retainKey(long id, long ttl) {
        done.add("pin " + id);
    }

    @Override
    public void releaseKey(long id) {
        done.add("unpin " + id);
    }

    @Override
    public void joinResult(long id) {
        done.add("join " + id);
    }

    @Override
    public void setHealth(boolean good, boolean stored) {
        done.add("health " + good);
    }

    @Override
    public void setLoadFeedback(double value) {
        done.add("advise " + value);
    }

    @Override
    public void setIdleTimeout(long after) {
        done.add("idle " + after);
        idles.add(after);
    }

    @Override
    public void scheduleWakeup(long after) {
        assertThat(after).isPositive();
    }

    @Override
    public void log(String text) {
        done.add("log " + text);
    }
}
