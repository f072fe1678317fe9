package wheatspread.admission.sfq;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import wheatspread.admission.AdmissionController;
import wheatspread.admission.AdmissionSettings;
import wheatspread.admission.LoadGauges;
import wheatspread.admission.RequestClass;
import wheatspread.admission.ServerLimits;

/** What is in hand, with what all parts of the module share: settings, the clock, where actions go. The parts
 * are layers, each a file that decides one thing: memory, tags, run times, depth, calls, signals, and on top
 * what is taken in, started and turned away. A layer knows only those below it. */
abstract class RequestsInHand implements AdmissionController {
    static final long TICK = 50_000; // between looks at the gauges; us: short to aims, long to a timer's cost
    static final long STOP_MARGIN = 300_000; // before this process is stopped; us
    private static final int DUE_TICKS = 2; // margin of a late answer, in ticks of the wire
    private static final double MEAN_GAIN = 0.05; // of the means of run times, per observation

    AdmissionSettings settings;
    final ServerLimits limits;
    /** Margin before a request is due; us. A pause is not blamed, a late answer is. */
    final long settle;

    Actions actions;
    long now, shortestAim;
    long startedAt = -1, retiredAt = -1;
    LoadGauges gauges;
    long stopAt = Long.MAX_VALUE;

    final Map<Long, Job> jobs = new LinkedHashMap<>();
    final Set<Job> standing = new LinkedHashSet<>();
    int held, running, begun;
    double usedKb, heldKb;
    /** Of all that is held: the sum of the times from arrival to aim, and how many of each class. */
    double heldRoom;

    int[] heldOf = new int[0];

    RequestsInHand(AdmissionSettings settings) {
        limits = settings.limits();
        settle = DUE_TICKS * Math.max(1, settings.timerResolutionMicros());
        take(settings);
    }

    @Override
    public void onSettingsChanged(AdmissionSettings next) {
        if (next.classes().size() < settings.classes().size()) {
            throw new IllegalArgumentException("a retuned site keeps every class it had");
        }
        take(next);
    }

    private void take(AdmissionSettings told) {
        settings = told;
        heldOf = Arrays.copyOf(heldOf, told.classes().size());
        shortestAim = told.classes().stream()
                .mapToLong(RequestClass::latencyObjectiveMicros)
                .min()
                .orElseThrow();
    }

    void move(Job job, State to) {
        boolean wasBegun = job.isBegun();
        State from = job.state;
        job.state = to;
        usedKb += kb(job, to) - kb(job, from);
        int step = step(to, from, State.HELD);
        held += step;
        heldKb += step * job.request.heldKb();
        heldRoom += step * (job.aim - job.arrival);
        heldOf[job.request.requestClass()] += step;
        running += step(to, from, State.RUNNING);
        begun += (job.isBegun() ? 1 : 0) - (wasBegun ? 1 : 0);
        if (to == State.STANDING) {
            standing.add(job);
        } else if (to != State.JOINING && from == State.STANDING) {
            standing.remove(job);
        }
        Job first = to == State.JOINING || from == State.JOINING ? jobs.get(job.request.duplicateOf()) : null;
        if (first != null) {
            first.joiners += step(to, from, State.JOINING);
        }
    }

    private static int step(State to, State from, State of) {
        return (to == of ? 1 : 0) - (from == of ? 1 : 0);
    }

    private double kb(Job job, State state) {
        double factor = state == State.OVER ? 0 : state == State.HELD ? 1 : limits.runningMemoryFactor();
        return job.request.heldKb() * factor;
    }

    /** Requests on the cores that the server survives: the told multiple warm, evenly more while cold. */
    double survivable() {
        return settings.cores() * (1 + (limits.overloadMultiple() - 1) * speed());
    }

    /** The least share of its speed that a server told to be cold has by now. */
    double speed() {
        double warmed = settings.cold() && now < startedAt + limits.warmUpMicros()
                ? (double) (now - startedAt) / limits.warmUpMicros()
                : 1;
        return Math.max(0.01, limits.coldSpeedFloor() + (1 - limits.coldSpeedFloor()) * warmed);
    }

    static double mean(double old, double value) {
        return old == 0 ? value : old + MEAN_GAIN * (value - old);
    }
}
