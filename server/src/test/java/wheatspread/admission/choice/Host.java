package wheatspread.admission.choice;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import wheatspread.admission.Admission;
import wheatspread.admission.Admission.Advice;
import wheatspread.admission.Admission.Below;
import wheatspread.admission.Admission.Callers;
import wheatspread.admission.Admission.Dependency;
import wheatspread.admission.Admission.Effect;
import wheatspread.admission.Admission.Gauges;
import wheatspread.admission.Admission.Halt;
import wheatspread.admission.Admission.Limits;
import wheatspread.admission.Admission.Request;
import wheatspread.admission.Admission.RequestClass;
import wheatspread.admission.Admission.Settings;
import wheatspread.admission.Admission.Tenant;

/** Feeds one {@link Choice} and writes down what it does; times in milliseconds. */
final class Host implements Admission.Actions {
    static final Gauges BUSY = new Gauges(1, 2, 0.1, 3);
    static final Gauges IDLE = new Gauges(0.2, 1, 0.1, 3);

    final Choice choice;
    final List<String> done = new ArrayList<>();
    final List<Long> stays = new ArrayList<>();
    final List<Long> idles = new ArrayList<>();
    long now = 1000;

    Host(Settings settings) {
        choice = new Choice(settings, 1);
        at(now).end();
    }

    static RequestClass kind(long aim, long deadline, Effect effect, double lateWorth, double skipWorth) {
        return new RequestClass(aim * 1000, 0, deadline * 1000, effect, 1, lateWorth, 5_000_000, true, skipWorth);
    }

    static Settings settings(
            boolean cold, double memoryKb, double callsOut, List<Tenant> tenants, RequestClass... kinds) {
        return new Settings(
                2,
                4,
                cold,
                Halt.ABORT,
                0,
                2000,
                new Limits(memoryKb, 4, 10, 5, 0.2, 10_000_000, 60_000, 1_000_000),
                new Below(callsOut > 0 ? Dependency.SHARED : Dependency.NONE, callsOut, 5_000_000, 200_000),
                new Callers(2, Advice.THRESHOLD, 1_000_000, 1_000_000, true, 15_000_000, 0, 0),
                List.of(kinds),
                tenants);
    }

    static Settings with(Settings s, Callers callers) {
        return new Settings(
                s.cores(),
                s.servers(),
                s.cold(),
                s.halt(),
                s.fresh(),
                s.resolution(),
                s.limits(),
                s.below(),
                callers,
                s.classes(),
                s.tenants());
    }

    /** The same with answers of reads that may be shared for this long. */
    static Settings fresh(Settings s, long fresh) {
        return new Settings(
                s.cores(),
                s.servers(),
                s.cold(),
                s.halt(),
                fresh * 1000,
                s.resolution(),
                s.limits(),
                s.below(),
                s.callers(),
                s.classes(),
                s.tenants());
    }

    static Settings plain() {
        return settings(
                false,
                100_000,
                0,
                List.of(new Tenant(1), new Tenant(1)),
                kind(1000, 3000, Effect.IDEMPOTENT, 0, 0),
                kind(1000, 3000, Effect.KEYED, 0.2, 0));
    }

    Host at(long time) {
        now = time;
        done.clear();
        choice.begin(time * 1000);
        return this;
    }

    Host arrive(long id, int tenant, int kind) {
        return arrive(id, tenant, kind, 0, 0);
    }

    Host arrive(long id, int tenant, int kind, long age, long duplicateOf) {
        choice.arrived(new Request(id, tenant, kind, age * 1000, 0, duplicateOf, false, false, false, 20, 0));
        return this;
    }

    Host arrive(Request request) {
        choice.arrived(request);
        return this;
    }

    /** A read with a key, of class 0. */
    Host read(long id, int tenant, long duplicateOf) {
        choice.arrived(new Request(id, tenant, 0, 0, 0, duplicateOf, false, true, false, 20, 0));
        return this;
    }

    /** A request whose caller still waits for {@code left}; a further try if marked so. */
    Host waits(long id, int kind, long left, boolean further) {
        choice.arrived(new Request(id, 0, kind, 0, left * 1000, 0, further, false, false, 20, 0));
        return this;
    }

    /** A request of class 0 with a hint. */
    Host hinted(long id, int tenant, double hint) {
        choice.arrived(new Request(id, tenant, 0, 0, 0, 0, false, false, false, 20, hint * 1000));
        return this;
    }

    Host ended(long id, Admission.Outcome outcome, long elapsed) {
        choice.completed(id, outcome, elapsed * 1000);
        return this;
    }

    Host end() {
        choice.decide(this);
        return this;
    }

    /** Lets ticks pass up to {@code until} with the same reading; keeps all actions of the way. */
    List<String> ticks(long until, Gauges gauges) {
        List<String> all = new ArrayList<>();
        for (long t = now + 50; t <= until; t += 50) {
            at(t);
            choice.timer(gauges);
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
    public void refuse(long id, long stayAway, boolean dontRetry) {
        done.add("refuse " + id);
        stays.add(stayAway);
    }

    @Override
    public void fail(long id) {
        done.add("fail " + id);
    }

    @Override
    public void stop(long id) {
        done.add("stop " + id);
    }

    @Override
    public void call(long id, long giveUpAfter) {
        done.add("call " + id);
    }

    @Override
    public void skipCall(long id) {
        done.add("skip " + id);
    }

    @Override
    public void pin(long id, long ttl) {
        done.add("pin " + id);
    }

    @Override
    public void unpin(long id) {
        done.add("unpin " + id);
    }

    @Override
    public void join(long id) {
        done.add("join " + id);
    }

    @Override
    public void health(boolean good, boolean stored) {
        done.add("health " + good);
    }

    @Override
    public void advise(double value) {
        done.add("advise " + value);
    }

    @Override
    public void closeIdle(long after) {
        done.add("idle " + after);
        idles.add(after);
    }

    @Override
    public void wake(long after) {
        assertThat(after).isPositive();
    }

    @Override
    public void log(String text) {
        done.add("log " + text);
    }
}
