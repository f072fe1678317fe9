/* The decisions of wheatspread; its interface, the types, events and actions, stands in Admission.java. */
package wheatspread.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/**
 * SFQ(D): tenants are flows with FIFO queues. A request gets S = max(v, F_prev) and F = S + c/phi; the
 * smallest start tag is dispatched while fewer than D requests run, and v follows it. The rest of the
 * module sets D, bounds the hold, keeps the four rules and tells callers how much to send.
 */
public final class Choice implements Admission {
    /** Gap between looks at the gauges; us. Short against aims, long against the cost of a timer. */
    private static final long TICK = 50_000;
    /** Smoothing of means of run times, per observation. */
    private static final double MEAN_GAIN = 0.05;
    /** Core use under which cores count as idle, as a share; the gauge looks back half a second. */
    private static final double CORES_IDLE = 0.92;
    /** Things on the cores, per core, above which D shrinks. */
    private static final double CROWDED = 1.4;
    /** Ticks in a row over the crowd mark before D gives up one slot: the hysteresis. */
    private static final int CROWDED_TICKS = 3;
    /** D's ceiling, as a share of the crowd that the server survives. */
    private static final double DEPTH_CEILING = 0.6;
    /** All requests begun, those at calls too, as a share of that crowd: calls may return all at once. */
    private static final double BEGUN_CEILING = 0.85;
    /** Equal readings in a row, while work goes on, that make a gauge count as stuck. */
    private static final int STUCK_TICKS = 40;
    /** Memory that runs may fill; the rest is room for arrivals. */
    private static final double MEMORY_FOR_RUNS = 0.8;
    /** Memory above which held requests are pushed out. */
    private static final double MEMORY_FULL = 0.95;
    /** The hold bound: its drain time as a share of the mean aim less run time of what is held. */
    private static final double HOLD_SHARE = 0.6;
    /** How long what a tenant was served counts when one must be refused; us. Some tens of runs. */
    private static final double SERVED_LATELY = 2_000_000;
    /** Until a run has ended, one is taken to last this share of the shortest aim, or all would be held. */
    private static final double UNKNOWN_RUN = 0.25;
    /** The median of run times as a share of their mean; it must fit before the aim for a run to start. */
    private static final double RUN_FITS = 0.7;
    /** Smoothing of what hints tell, per run; taken at their word until a tenth of 1/gain runs ended. */
    private static final double HINT_GAIN = 0.01;
    /** What a client's first try took, as a share of its class's aim, where no try tells how long is left. */
    private static final double TRIED_FOR = 0.7;
    /** Shares of a deadline that differ by less are the same. */
    private static final double SAME_LEFT = 0.02;
    /** Runs per core that start whatever the estimate says, or a slow server would never find out. */
    private static final double PROBES = 0.34;
    /** Runs that must have ended before their times show what a cold server can do. */
    private static final int SHOWN_BY = 10;
    /** Margin before a request is due, in ticks of the wire; a pause is not blamed, a late answer is. */
    private static final int DUE_TICKS = 2;
    /** Margin before this process is stopped; us. */
    private static final long STOP_MARGIN = 300_000;
    /** Share of the told calls in hand that is used, averaged over the told window. */
    private static final double CALLS_SHARE = 0.7;
    /** The bound on slow calls, as a share of the told calls in hand. */
    private static final double CALLS_LEAST = 0.4;
    /** Part of the bound that calls which may be left out can take. */
    private static final double SKIPPABLE_PART = 0.5;
    /** How long a call that may be left out is waited for, as a share of the class's aim. */
    private static final double CALL_PATIENCE = 0.3;
    /** Calls in hand at once, as a multiple of the bound on their mean: calls come in clumps. */
    private static final double CALLS_BURST = 2;
    /** Smoothing of the call time, per call. */
    private static final double CALL_GAIN = 0.1;
    /** Growth of the usual call time per call, so that one lucky spell does not set it for good. */
    private static final double CALL_DRIFT = 1.001;
    /** Mean call time over the usual one at which calls count as slow and their bound shrinks. */
    private static final double CALL_SLOW = 2.0;
    /** A difference between call times that the process's own turns on its core account for; us. */
    private static final double CALL_NOISE = 10_000;
    /** Wait at a call, as a share of the class's aim, after which it is skipped where that earns worth. */
    private static final double SKIP_AFTER = 0.1;
    /** Calls for one request at one point before it is given up; each further one waits a tick more. */
    private static final int CALL_TRIES = 5;
    /** Advice: change per tick for each unit of pressure above or below one; slow, since callers all obey. */
    private static final double ADVICE_GAIN = 0.015;
    /** The fill of the hold, as a share of its bound, that counts as a pressure of one. */
    private static final double FILL_MARK = 0.6;
    /** Time unread, as a share of the aim, that counts as a pressure of one. */
    private static final double UNREAD_MARK = 0.1;
    /** Share refused that counts as a pressure of one, where callers can be told what to leave out. */
    private static final double REFUSED_MARK = 0.25;
    /** Pressure above which more of it changes nothing. */
    private static final double PRESSURE_MOST = 3;
    /** Smoothing of the unread time and of the refused share, per request. */
    private static final double PRESSURE_MEAN = 0.05;
    private static final double UNREAD_MEAN = 0.2;
    /** The most that advice keeps away: a server must not starve itself. */
    private static final double ADVICE_MOST = 0.5;
    /** Time unread, as a share of the aim, at which all that is read is too late: the server is jammed. */
    private static final double JAMMED = 0.35;
    /** Time unread, as a share of the aim, under which a jam is over. */
    private static final double JAM_OVER = 0.15;
    /** Rate of tries over what the quotas give a server of the mean above which the fleet counts as flooded:
     * quotas may promise half of what the fleet can do, and load may go beyond that by a quarter. */
    private static final double FLOODED = 2.5;
    /** The most that callers may have out there, as a multiple of twice D; they come in clumps. */
    private static final double ROOM_MOST = 4;
    /** Growth of that multiple per tick while the pressure is under this mark; it shrinks twice as fast. */
    private static final double ROOM_GAIN = 0.1;
    private static final double IDLE_PRESSURE = 0.3;
    /** A change of advice smaller than this is not sent. */
    private static final double ADVICE_STEP = 0.02;

    /** Mean time between two tries of one caller, as a share of the time after which callers close a
     * connection themselves, above which connections count as mostly silent; well under one, since each
     * takes some of the cores for as long as it stays open. */
    private static final double SILENT = 0.2;
    /** Rest of such a connection, as a share of the shortest aim: long for a burst, short to the next try. */
    private static final double LINK_REST = 0.1;
    /** Smoothing of the rate of arrivals, per tick: some seconds. */
    private static final double RATE_MEAN = 0.01;

    private enum State { HELD, RUNNING, STANDING, CALLING, JOINING, OVER }

    /** A tenant's queue and tags. */
    private static final class Flow {
        final double weight;
        final ArrayDeque<Job> queue = new ArrayDeque<>();
        /** Finish tag of the last one dispatched, and of the last one queued. */
        double dispatchedFinish;
        double lastFinish;
        /** Charges of the lately dispatched, as of the time of the last one. */
        double served;
        long servedAt;

        Flow(double weight) {
            this.weight = weight;
        }
    }

    /** One request in hand. */
    private static final class Job {
        final Request request;
        final RequestClass kind;
        final Flow flow;
        final long arrival;
        final long due;
        final long aim;
        double cost;
        double virtualAtArrival;
        double start;
        double finish;
        State state = State.HELD;
        boolean pinned;
        boolean answered;
        boolean callSpent;
        boolean takenUp;
        int joiners;
        int calls;
        long since;
        long onCores;

        Job(Request request, RequestClass kind, Flow flow, long now, long spent) {
            this.request = request;
            this.kind = kind;
            this.flow = flow;
            arrival = now - request.age();
            due = request.left() > 0 ? now + request.left() : arrival + kind.deadline();
            long aimLength = Math.min(kind.deadline(),
                kind.aim() + (long) (kind.aimStretch() * request.hint()));
            aim = Math.min(due, arrival + aimLength - spent);
            since = now;
        }

        boolean mayRunAgain() {
            return kind.effect() == Effect.IDEMPOTENT;
        }

        /** What its run earns, for those too that wait for its answer. */
        double worth() {
            return kind.worth() * (1 + joiners);
        }

        long id() {
            return request.id();
        }
    }

    private Settings settings;
    private final Limits limits;
    private final Flow[] flows;
    private final long settle;
    private final SplittableRandom random;
    private final double quotas;
    private long shortestAim;
    private Actions actions;

    private long now;
    private long startedAt = -1;
    private long nextTick;
    private Gauges gauges;
    private final List<Job> arrivals = new ArrayList<>();
    private final Set<Long> neverRan = new HashSet<>();
    private final Map<Long, Job> jobs = new LinkedHashMap<>();

    private double virtualTime;
    private double largestServed;
    private int held;
    private int running;
    private int begun;
    private double usedKb;
    private double heldKb;
    /** Of all that is held: the sum of the times from arrival to aim, and how many of each class. */
    private double heldRoom;
    private int[] heldOf;
    private final Set<Job> standing = new LinkedHashSet<>();
    private final Map<Long, Long> keys = new LinkedHashMap<>();

    private int depth;
    private int crowdedTicks;
    private int sameTicks;
    private Gauges lastGauges;
    private double[] meanRun;
    private double[] meanElapsed;
    private double meanHint;
    /** By class: the most and the mean of what first tries are given, as a share of the deadline. */
    private double[] firstMost;
    private double[] firstMean;
    private double spentMean;
    private double lost; // share of the runs lately ended that were given up
    /** Of the logarithms of hints and run times: how many, means, spread of hints, how they go together. */
    private int hints;
    private double logHint;
    private double logTime;
    private double hintSpread;
    private double hintTold;
    private double meanSlot;
    private double slot;

    private int callsOut;
    private double callsMean;
    private long callsSince;
    private double callBound;
    private double callUsual;
    private double callNow;
    private final List<Long> lingering = new ArrayList<>();

    private long retiredAt = -1;
    private long stopAt = Long.MAX_VALUE;
    private boolean healthTold = true;
    /** A late timer shows that the process stood still: tries that come in a clump then are no load. */
    private long stall;
    private long stallOver;
    private double unread;
    private int arrivedSinceTick;
    private double perTick;
    private int ticks;
    private boolean closing;
    private long restSent;
    private double refused;
    private boolean jammed;
    private double advice;
    private double adviceSent;
    private double room = ROOM_MOST;
    private double roomSent = ROOM_MOST;

    /** The seed only spreads the times after which refused callers come back. */
    public Choice(Settings settings, long seed) {
        random = new SplittableRandom(seed);
        this.settings = settings;
        limits = settings.limits();
        settle = DUE_TICKS * Math.max(1, settings.resolution());
        flows = new Flow[Math.max(1, settings.tenants().size())];
        quotas = settings.tenants().stream().mapToDouble(Tenant::quota).sum();
        boolean told = settings.tenants().stream().allMatch(t -> t.quota() > 0) && quotas > 0;
        for (int i = 0; i < flows.length; i++) {
            flows[i] = new Flow(told ? settings.tenants().get(i).quota() / quotas * flows.length : 1);
        }
        depth = settings.cores();
        int kinds = settings.classes().size();
        meanRun = new double[kinds];
        meanElapsed = new double[kinds];
        heldOf = new int[kinds];
        firstMost = new double[kinds];
        firstMean = new double[kinds];
        callBound = settings.below().callsOut();
        shortestAim = settings.classes().stream().mapToLong(RequestClass::aim).min().orElseThrow();
    }

    // ---- events ----

    @Override
    public void retuned(Settings next) {
        int kinds = next.classes().size();
        if (kinds < settings.classes().size()) {
            throw new IllegalArgumentException("a retuned site keeps every class it had");
        }
        settings = next;
        meanRun = Arrays.copyOf(meanRun, kinds);
        meanElapsed = Arrays.copyOf(meanElapsed, kinds);
        heldOf = Arrays.copyOf(heldOf, kinds);
        firstMost = Arrays.copyOf(firstMost, kinds);
        firstMean = Arrays.copyOf(firstMean, kinds);
        shortestAim = next.classes().stream().mapToLong(RequestClass::aim).min().orElseThrow();
    }

    @Override
    public void begin(long clock) {
        now = clock;
        if (startedAt < 0) {
            startedAt = clock;
        }
        gauges = null;
        if (nextTick > 0 && now > nextTick + TICK) {
            stall = now - nextTick;
            stallOver = now + stall;
        }
    }

    @Override
    public void arrived(Request request) {
        int tenant = request.tenant() < flows.length && request.tenant() >= 0 ? request.tenant() : 0;
        if (request.kind() < 0 || request.kind() >= settings.classes().size()) {
            throw new IllegalArgumentException("request of unknown class " + request.kind());
        }
        RequestClass kind = settings.classes().get(request.kind());
        Job job = new Job(request, kind, flows[tenant], now, spent(request, kind));
        job.state = State.OVER;
        move(job, State.HELD);
        jobs.put(job.id(), job);
        arrivals.add(job);
        arrivedSinceTick++;
        long waited = now <= stallOver ? Math.max(0, request.age() - stall) : request.age();
        unread += UNREAD_MEAN * ((double) waited / job.kind.aim() - unread);
    }

    /**
     * How long the client of a marked further try waited before. A caller gives first tries of a class one
     * share of the deadline: more than that left, or all given to first tries, tells; else the mean of those.
     * Guards against runs for clients past their aim, which feed storms; may harm quick repeats among late.
     */
    private long spent(Request request, RequestClass kind) {
        double left = (double) (request.left() + request.age()) / kind.deadline();
        int of = request.kind();
        if (request.left() <= 0 && request.further()) {
            return (long) (TRIED_FOR * kind.aim()); // runs of a whole aim would mostly end late, for nobody
        } else if (request.left() <= settle) {
            return 0;
        } else if (!request.further()) {
            firstMost[of] = Math.max(firstMost[of], left);
            firstMean[of] = mean(firstMean[of], left);
            return 0;
        }
        double most = kind.deadline() * Math.max(0, 1 - left);
        if (firstMean[of] > 0 && left > firstMost[of] + SAME_LEFT || firstMean[of] > 1 - SAME_LEFT) {
            spentMean = mean(spentMean, most);
            return (long) most;
        }
        return (long) Math.min(spentMean, most);
    }

    @Override
    public void completed(long id, Outcome outcome, long elapsed) {
        Job job = jobs.get(id);
        if (job == null) {
            return;
        }
        if (job.state == State.RUNNING) {
            job.onCores += now - job.since;
            if (outcome == Outcome.OK || outcome == Outcome.FAILED) {
                learn(job, elapsed);
            }
        } else if (job.state == State.CALLING) {
            lingering.add(now + settings.below().linger());
            callEnded(job, false, 0);
        }
        if (job.pinned && job.mayRunAgain()) {
            keys.put(id, outcome == Outcome.OK ? now + settings.fresh() : now);
        }
        largestServed = Math.max(largestServed, job.finish);
        boolean owed = outcome == Outcome.CANCELED && !job.answered;
        move(job, State.OVER);
        if (owed) {
            job.callSpent = true;
            arrivals.add(job);
        } else {
            jobs.remove(id);
        }
    }

    @Override
    public void blocked(long id) {
        Job job = jobs.get(id);
        if (job != null && job.state == State.RUNNING) {
            job.onCores += now - job.since;
            job.since = now;
            job.calls = 0;
            move(job, State.STANDING);
        }
    }

    @Override
    public void called(long id, Outcome outcome, long elapsed) {
        Job job = jobs.get(id);
        if (job == null || job.state != State.CALLING) {
            return;
        }
        boolean unseen = outcome == Outcome.QUEUE_FULL || outcome == Outcome.CONNECT_ERROR;
        // one without a reply says nothing of the others; where none gets one, their ages do
        callEnded(job, !unseen && outcome != Outcome.TIMED_OUT, elapsed);
        judgeCalls(unseen || slow(callNow)); // what turns calls away is crowded
        job.since = now;
        if (outcome == Outcome.OK) {
            move(job, State.RUNNING);
            return;
        }
        job.callSpent = !job.mayRunAgain() && !unseen || job.calls >= CALL_TRIES;
        if (outcome == Outcome.TIMED_OUT) {
            lingering.add(now + settings.below().linger());
        }
        move(job, State.STANDING);
    }

    @Override
    public void gone(long id) {
        Job job = jobs.get(id);
        if (job == null) {
            return;
        }
        job.answered = true;
        if (job.state == State.HELD || job.state == State.JOINING) {
            forget(job);
        }
    }

    @Override
    public void retiring(long left) {
        retiredAt = now;
        stopAt = now + left;
    }

    @Override
    public void timer(Gauges reading) {
        gauges = reading;
    }

    @Override
    public void decide(Actions sink) {
        actions = sink;
        boolean tick = now >= nextTick;
        if (nextTick == 0) {
            actions.health(true, true);
        }
        if (tick) {
            tick();
        }
        admit();
        refuseWhile(() -> usedKb + keysKb() + roomForCores() > limits.memoryKb() * MEMORY_FULL);
        makeCalls();
        dispatch();
        refuseWhile(() -> fill() > 1);
        if (tick) {
            steer();
            nextTick = now + TICK;
            actions.wake(TICK);
        }
        if (held + begun == 0) {
            virtualTime = Math.max(virtualTime, largestServed);
        }
        neverRan.clear();
        actions = null;
    }

    // ---- tags and queues ----

    private void admit() {
        long soonest = Long.MAX_VALUE;
        for (Job job : arrivals) {
            if (job.state == State.OVER && jobs.get(job.id()) == job) {
                takeUp(job);
            } else if (job.state == State.HELD) {
                take(job);
                if (job.state != State.OVER) {
                    soonest = Math.min(soonest, job.due - settle);
                }
            }
        }
        arrivals.clear();
        if (soonest < nextTick) {
            actions.wake(Math.max(1, soonest - now));
        }
    }

    /** A paused run that owes its answer goes on, once: it kept its memory, and a write may not run anew. */
    private void takeUp(Job job) {
        if (settings.halt() == Halt.SUSPEND && !job.takenUp && now < Math.min(job.due, stopAt) - settle) {
            job.takenUp = true;
            job.callSpent = false;
            job.since = now;
            move(job, State.RUNNING);
            actions.run(job.id());
        } else {
            actions.fail(job.id());
            jobs.remove(job.id());
        }
    }

    private void take(Job job) {
        Request request = job.request;
        boolean repeat = request.duplicateOf() != 0 && !neverRan.contains(request.duplicateOf());
        if (repeat && job.kind.effect() != Effect.AT_MOST_ONCE) {
            move(job, State.JOINING);
            if (usedKb + keysKb() > limits.memoryKb() * MEMORY_FULL) {
                giveUp(job); // repeats pile up; what it repeats may have run, so it is not refused
            } else {
                actions.join(job.id());
            }
        } else if (retiredAt >= 0 && job.arrival > retiredAt + limits.drainGrace() || worthless(job)) {
            refuse(job, true);
        } else if (job.kind.effect() == Effect.KEYED && !pin(job, MEMORY_FULL)) {
            refuse(job, false);
        } else {
            if (settings.fresh() > 0 && job.mayRunAgain() && request.keyed() && !request.write()) {
                pin(job, MEMORY_FOR_RUNS); // its answer may serve others that read the same
            }
            enqueue(job);
        }
    }

    private void countJoiner(Job job, int step) {
        Job first = jobs.get(job.request.duplicateOf());
        if (first != null) {
            first.joiners += step;
        }
    }

    private boolean pin(Job job, double room) {
        if (usedKb + keysKb() + limits.keyKb() > limits.memoryKb() * room) {
            return false;
        }
        long until = job.kind.effect() == Effect.KEYED
            ? job.arrival + Math.max(job.kind.window(), job.kind.deadline()) + limits.answerSlack()
            : job.due + settings.fresh();
        actions.pin(job.id(), until - now);
        keys.put(job.id(), until);
        job.pinned = true;
        return true;
    }

    private void enqueue(Job job) {
        job.cost = cost(job);
        job.virtualAtArrival = virtualTime;
        tag(job, job.flow.lastFinish);
        job.flow.queue.add(job);
    }

    private static void tag(Job job, double previousFinish) {
        job.start = Math.max(job.virtualAtArrival, previousFinish);
        job.finish = job.start + job.cost / job.flow.weight;
        job.flow.lastFinish = job.finish;
    }

    /** The hint, else the class's mean run time; both against the mean of all: costs start at one unit. */
    private double cost(Job job) {
        if (job.request.hint() > 0) {
            meanHint = mean(meanHint, job.request.hint());
            return job.request.hint() / meanHint;
        }
        double own = meanRun[job.request.kind()];
        return own > 0 && meanSlot > 0 ? own / meanSlot : 1;
    }

    private Flow smallestStart() {
        return waiting().reduce((a, b) -> b.queue.peek().start < a.queue.peek().start ? b : a).orElse(null);
    }

    private Flow furthestAhead() {
        return waiting().reduce((a, b) -> ahead(b) > ahead(a) ? b : a).orElse(null);
    }

    private Stream<Flow> waiting() {
        return Arrays.stream(flows).filter(flow -> !flow.queue.isEmpty());
    }

    /**
     * How far a flow's newest start tag is ahead, counted from what it was served lately. Its last finish tag
     * alone misleads where the hold is a few requests: it counts the newest one's own charge and forgets how
     * little a flow used just before. In a long hold they agree. May spare a beginning flood for a while.
     */
    private double ahead(Flow flow) {
        return flow.served * Math.exp((flow.servedAt - now) / SERVED_LATELY) + flow.queue.peekLast().start
            - flow.queue.peek().start;
    }

    private void dispatch() {
        int most = (int) (BEGUN_CEILING * survivable());
        while (running < depth && begun < most) {
            Flow flow = smallestStart();
            if (flow == null) {
                return;
            }
            Job job = flow.queue.peek();
            if (hopeless(job)) {
                refuse(job, true);
            } else if (!memoryToRun(job)) {
                return;
            } else {
                flow.queue.poll();
                flow.dispatchedFinish = job.finish;
                flow.served = flow.served * Math.exp((flow.servedAt - now) / SERVED_LATELY)
                    + job.finish - job.start;
                flow.servedAt = now;
                virtualTime = job.start;
                move(job, State.RUNNING);
                refused -= PRESSURE_MEAN * refused;
                job.since = now;
                actions.run(job.id());
            }
        }
    }

    private boolean hopeless(Job job) {
        double need = begun >= PROBES * settings.cores() ? expected(job) / (1 - lost) : 0;
        return now + need > Math.min(job.aim, stopAt - STOP_MARGIN);
    }

    /** While a bound is passed, a request of the flow furthest ahead is refused. */
    private void refuseWhile(BooleanSupplier over) {
        while (over.getAsBoolean()) {
            Flow flow = furthestAhead();
            if (flow == null) {
                return;
            }
            refuse(leastWorth(flow), false);
        }
    }

    /** Which flow loses one is the design's to say; of its own, it loses the newest of the least worth. */
    private static Job leastWorth(Flow flow) {
        return flow.queue.stream().reduce((a, b) -> b.worth() <= a.worth() ? b : a).orElseThrow();
    }

    /** Expected drain time of the hold over its bound; the newest does not count, which rounds the bound up:
     * at few cores a whole request is a good part of it, and what could be served would be refused. */
    private double fill() {
        if (held == 0) {
            return 0;
        }
        double room = heldRoom;
        for (int kind = 0; kind < heldOf.length; kind++) {
            room -= heldOf[kind] * meanElapsed[kind];
        }
        return (held - 1) * slot / depth / Math.max(1, HOLD_SHARE * room / held);
    }

    private void refuse(Job job, boolean dontRetry) {
        refused += PRESSURE_MEAN * (1 - refused);
        boolean pressed = pressure() > 1;
        long stay = pressed ? (long) (settings.callers().maxStayAway() * (1 + random.nextDouble()) / 3) : 0;
        actions.refuse(job.id(), stay, dontRetry || pressed);
        neverRan.add(job.id());
        if (job.pinned) {
            actions.unpin(job.id());
            keys.remove(job.id());
        }
        forget(job);
    }

    /** Takes a request that never ran out of its queue, and its charge off its flow's later tags. */
    private void forget(Job job) {
        if (job.flow.queue.remove(job)) {
            job.flow.lastFinish = job.flow.dispatchedFinish;
            job.flow.queue.forEach(left -> tag(left, left.flow.lastFinish));
        }
        move(job, State.OVER);
        jobs.remove(job.id());
    }

    private void move(Job job, State to) {
        usedKb += kb(job, to) - kb(job, job.state);
        int step = (to == State.HELD ? 1 : 0) - (job.state == State.HELD ? 1 : 0);
        held += step;
        heldKb += step * job.request.heldKb();
        heldRoom += step * (job.aim - job.arrival);
        heldOf[job.request.kind()] += step;
        running += (to == State.RUNNING ? 1 : 0) - (job.state == State.RUNNING ? 1 : 0);
        begun += (isBegun(to) ? 1 : 0) - (isBegun(job.state) ? 1 : 0);
        if (to == State.JOINING) {
            countJoiner(job, 1);
        } else if (to == State.STANDING) {
            standing.add(job);
        } else if (job.state == State.STANDING) {
            standing.remove(job);
        } else if (job.state == State.JOINING) {
            countJoiner(job, -1);
        }
        job.state = to;
    }

    private double kb(Job job, State state) {
        double factor = state == State.OVER ? 0 : state == State.HELD ? 1 : limits.runFactor();
        return job.request.heldKb() * factor;
    }

    private static boolean isBegun(State state) {
        return state == State.RUNNING || state == State.STANDING || state == State.CALLING;
    }

    // ---- depth ----

    private void tick() {
        keys.entrySet().removeIf(entry -> {
            if (entry.getValue() < now) {
                actions.unpin(entry.getKey());
            }
            return entry.getValue() < now;
        });
        expire();
        estimateSlot();
        if (slow(callAge())) {
            judgeCalls(true); // hanging calls tell by their ages before any of them ends
        }
        if (gauges != null && !stuck()) {
            setDepth();
        } else if (sameTicks >= STUCK_TICKS) {
            depth = settings.cores();
        }
        depth = Math.max(settings.cores(), Math.min(depth, (int) (DEPTH_CEILING * survivable())));
    }

    private boolean stuck() {
        boolean readable = gauges.coreUse() >= 0 && gauges.onCores() >= 0;
        boolean same = gauges.equals(lastGauges) && begun > 0;
        sameTicks = !readable || same ? sameTicks + (readable ? 1 : STUCK_TICKS) : 0;
        lastGauges = gauges;
        return sameTicks >= STUCK_TICKS;
    }

    private void setDepth() {
        double crowd = gauges.onCores() / settings.cores();
        crowdedTicks = crowd > CROWDED ? crowdedTicks + 1 : 0;
        if (crowdedTicks >= CROWDED_TICKS) {
            depth--;
            crowdedTicks = 0;
        } else if (held > 0 && running >= depth && crowd < CROWDED
            && (crowd < 1 || gauges.coreUse() < CORES_IDLE)) {
            depth++;
        }
    }

    /** Requests on the cores that the server survives: the told multiple warm, evenly more while cold. */
    private double survivable() {
        return settings.cores() * (1 + (limits.tipMultiple() - 1) * speed());
    }

    /** The least share of its speed that a server told to be cold has by now. */
    private double speed() {
        double warmed = settings.cold() && now < startedAt + limits.coldFor()
            ? (double) (now - startedAt) / limits.coldFor() : 1;
        return Math.max(0.01, limits.speedFloor() + (1 - limits.speedFloor()) * warmed);
    }

    private void learn(Job job, long elapsed) {
        int kind = job.request.kind();
        meanRun[kind] = mean(meanRun[kind], job.onCores);
        meanElapsed[kind] = mean(meanElapsed[kind], elapsed);
        meanSlot = mean(meanSlot, job.onCores);
        learnHint(job, job.onCores, 0);
    }

    /** What hints tell of core time: a slope over logarithms. Runs given up count with what they had. */
    private void learnHint(Job job, long onCores, int givenUp) {
        lost += MEAN_GAIN * (givenUp - lost);
        if (job.request.hint() <= 0) {
            return;
        }
        double gain = Math.max(HINT_GAIN, 1.0 / ++hints);
        double x = Math.log(job.request.hint()) - logHint;
        double y = Math.log(Math.max(settle, onCores)) - logTime;
        double soon = Math.max(MEAN_GAIN, gain); // speed changes as a process warms, the slope hardly
        logHint += soon * x;
        logTime += soon * y;
        hintSpread += gain * ((1 - gain) * x * x - hintSpread);
        hintTold += gain * ((1 - gain) * x * y - hintTold);
    }

    /** How long a run likely takes, half take longer; calls add their time, which no hint tells. A few long
     * runs in hand look like a slow server: a hint is stretched once their mean age is twice the usual. */
    private double expected(Job job) {
        double elapsed = meanElapsed[job.request.kind()];
        double slower = meanSlot > 0 ? Math.max(1, slot / meanSlot) : 1;
        if (job.request.hint() <= 0) {
            return RUN_FITS * slower * elapsed;
        }
        double slope = Math.min(1, hintTold / Math.max(hintSpread, HINT_GAIN));
        double cores = hints < 0.1 / HINT_GAIN ? job.request.hint() / speed()
            : Math.exp(logTime + slope * (Math.log(job.request.hint()) - logHint));
        return cores * Math.max(1, slower / 2) + elapsed - meanRun[job.request.kind()];
    }

    private static double mean(double old, double value) {
        return old == 0 ? value : old + MEAN_GAIN * (value - old);
    }

    /** Time a run keeps its slot; where runs stall, their ages tell before any of them completes. */
    private void estimateSlot() {
        double[] ages = jobs.values().stream().filter(job -> job.state == State.RUNNING)
            .mapToDouble(job -> job.onCores + now - job.since).toArray();
        double known = meanSlot > 0 ? meanSlot : UNKNOWN_RUN * shortestAim / speed();
        double mean = Arrays.stream(ages).average().orElse(0);
        slot = ages.length < settings.cores() ? known : Math.max(known, mean);
    }

    // ---- guards ----

    /** Answers what is due or can no longer earn anything. */
    private void expire() {
        for (Job job : new ArrayList<>(jobs.values())) {
            if (job.answered) {
                if (job.state == State.RUNNING && job.joiners == 0 && settings.halt() != Halt.NONE) {
                    actions.stop(job.id());
                }
                continue;
            }
            boolean over = now >= Math.min(job.due - settle, stopAt - STOP_MARGIN / 2) - TICK;
            if (job.state == State.HELD) {
                if (over || now > job.aim) {
                    refuse(job, true);
                }
            } else if (over || worthless(job) && job.kind.effect() != Effect.KEYED) {
                giveUp(job);
            }
        }
    }

    private boolean worthless(Job job) {
        return now > job.aim && job.kind.lateWorth() == 0;
    }

    /** Answers a begun or joining request with an error, and stops its work where that is possible. */
    private void giveUp(Job job) {
        actions.fail(job.id());
        job.answered = true;
        if (job.state == State.JOINING) {
            forget(job);
        } else if (job.state == State.RUNNING && job.joiners == 0 && settings.halt() != Halt.NONE) {
            learnHint(job, job.onCores + now - job.since, 1);
            actions.stop(job.id());
        }
    }

    private double keysKb() {
        return keys.size() * limits.keyKb();
    }

    private boolean memoryToRun(Job job) {
        double more = job.request.heldKb() * (limits.runFactor() - 1);
        double share = begun < settings.cores() ? MEMORY_FULL : MEMORY_FOR_RUNS;
        return usedKb + keysKb() + more <= limits.memoryKb() * share;
    }

    /** A hold that filled the memory would keep all of itself from running. */
    private double roomForCores() {
        if (held <= 1) {
            return 0;
        }
        int wanted = Math.min(held, Math.max(0, settings.cores() - begun));
        return wanted * (limits.runFactor() - 1) * heldKb / held;
    }

    // ---- calls ----

    private void makeCalls() {
        countCalls();
        List<Job> waiting = new ArrayList<>(standing);
        waiting.removeIf(job -> job.answered);
        waiting.sort((a, b) -> a.aim < now != b.aim < now ? Boolean.compare(a.aim < now, b.aim < now)
            : Double.compare(a.start, b.start));
        for (Job job : waiting) {
            boolean skippable = job.kind.skipWorth() > 0;
            boolean waited = now - job.since > SKIP_AFTER * job.kind.aim();
            boolean rested = now >= job.since + job.calls * TICK;
            if (!job.callSpent && rested && roomForCall(skippable)) {
                call(job);
            } else if (skippable && (job.callSpent || waited)) {
                actions.skipCall(job.id());
                job.callSpent = false;
                job.since = now;
                move(job, State.RUNNING);
            } else if (job.callSpent) {
                giveUp(job);
            }
        }
    }

    private void call(Job job) {
        long left = Math.min(job.due, stopAt - STOP_MARGIN) - settle - now;
        if (job.kind.skipWorth() > 0) {
            left = Math.min(left, (long) (CALL_PATIENCE * job.kind.aim()));
        } else if (job.kind.lateWorth() == 0) {
            left = Math.min(left, Math.max(job.aim - now, job.kind.aim() / 2)); // later it earns nothing
        }
        job.calls++;
        job.since = now;
        callsOut++;
        move(job, State.CALLING);
        actions.call(job.id(), Math.max(settle, left));
    }

    private boolean roomForCall(boolean skippable) {
        if (settings.below().callsOut() <= 0) {
            return true;
        }
        double share = skippable ? SKIPPABLE_PART : 1;
        return callsMean < callBound * CALLS_SHARE * share
            && callsOut + lingering.size() < Math.max(1, CALLS_BURST * callBound * share);
    }

    /** Mean of calls in the dependency's hands, those given up too, over the told window. */
    private void countCalls() {
        lingering.removeIf(until -> until < now);
        double window = Math.max(1, settings.below().window());
        double weight = Math.exp(-(now - callsSince) / window);
        callsMean = callsMean * weight + (callsOut + lingering.size()) * (1 - weight);
        callsSince = now;
    }

    private void callEnded(Job job, boolean seen, long elapsed) {
        countCalls();
        callsOut--;
        if (seen) {
            callNow = callNow == 0 ? elapsed : callNow + CALL_GAIN * (elapsed - callNow);
            callUsual = callUsual == 0 ? callNow : Math.min(callNow, callUsual * CALL_DRIFT);
        }
    }

    private boolean slow(double time) {
        return callUsual > 0 && time > Math.max(CALL_SLOW * callUsual, callUsual + CALL_NOISE);
    }

    /** The median age of the calls in hand: a mean would take one lost reply for a slow service, and so would
     * a single call, unless hardly more may be in hand. */
    private double callAge() {
        long[] ages = jobs.values().stream().filter(job -> job.state == State.CALLING)
            .mapToLong(job -> now - job.since).sorted().toArray();
        double enough = Math.max(1, Math.min(2, settings.below().callsOut() / 2));
        return ages.length < enough ? 0 : ages[(ages.length - 1) / 2];
    }

    private void judgeCalls(boolean slow) {
        double least = settings.below().callsOut() * CALLS_LEAST;
        callBound = slow ? Math.max(least, callBound * 0.9)
            : Math.min(settings.below().callsOut(), callBound + least * 0.05);
    }

    // ---- signals ----

    private void steer() {
        if (arrivedSinceTick == 0) {
            unread -= PRESSURE_MEAN * unread;
        }
        closeSilent();
        arrivedSinceTick = 0;
        jam();
        boolean healthy = retiredAt < 0 && !(jammed && slowNotFlooded());
        if (healthy != healthTold) {
            healthTold = healthy;
            actions.health(healthy, true);
        }
        if (settings.callers().advice() == Advice.NONE) {
            return;
        }
        advice += ADVICE_GAIN * (Math.min(PRESSURE_MOST, pressure()) - 1);
        advice = Math.max(0, Math.min(ADVICE_MOST, advice));
        // guards against callers kept from idle cores, for good, by what one short jam made them heed
        room *= pressure() < IDLE_PRESSURE && held == 0 ? 1 + ROOM_GAIN : 1 - 2 * ROOM_GAIN;
        room = Math.max(1, Math.min(ROOM_MOST, room));
        double wanted = Math.max(advice, Math.min(1, (unread - UNREAD_MARK) / (JAMMED - UNREAD_MARK)));
        double offered = room * shown();
        boolean moved = settings.callers().advice() == Advice.WINDOW
            && Math.abs(offered - roomSent) > ROOM_GAIN * roomSent;
        if (moved || Math.abs(wanted - adviceSent) >= ADVICE_STEP || wanted == 0 && adviceSent > 0) {
            adviceSent = wanted;
            roomSent = offered;
            actions.advise(value());
        }
    }

    /**
     * Guards against a table of connections filled by callers that are many and mostly silent: it takes of
     * the cores, and past its unknown cap callers get no connection. Where a caller comes back only after a
     * good part of the told idle time, keeping its connection hardly saves an opening, so it is closed soon;
     * where tries wait unread, openings eat the cores and it rests for an aim: a fuller table turns openings
     * away. May harm where few of many told callers send nearly all. No gauge: callers close them.
     */
    private void closeSilent() {
        perTick += Math.max(RATE_MEAN, 1.0 / ++ticks) * (arrivedSinceTick - perTick);
        Callers callers = settings.callers();
        if (callers.idle() == 0 || lastGauges == null || now <= startedAt + callers.idle() / 10) {
            return;
        }
        double gap = callers.count() * TICK / Math.max(perTick, 1e-9);
        double spare = lastGauges.connections() - begun - held;
        double saved = Math.min(1, callers.idle() / gap) * callers.openingPrice();
        boolean dear = spare / 100 * callers.connectionPrice() > saved;
        boolean silent = gap > callers.idle() * SILENT * (closing ? 0.5 : 1);
        boolean readable = !Double.isNaN(spare) && sameTicks < STUCK_TICKS;
        closing = readable && (silent && (closing || spare > settings.cores()) || dear);
        double rest = shortestAim * (unread > UNREAD_MARK ? 1 : LINK_REST);
        long wanted = closing ? Math.min(callers.idle(), (long) rest) : 0;
        if (wanted != restSent) {
            restSent = wanted;
            actions.closeIdle(wanted);
        }
    }

    /**
     * Not far more tries come here than the quotas give a server of the mean: a jam then is its own, and
     * others can take its part. Else the fleet is flooded, and each server that left would jam the next.
     */
    private boolean slowNotFlooded() {
        return quotas == 0 || perTick * settings.servers() * 1_000_000 <= FLOODED * quotas * TICK;
    }

    /**
     * Guards against a standing line of unread tries: the cores go into reading what is already too late,
     * callers give up and try again, and the line never ends. Until it is read off, callers are told to
     * send nothing; work is there, so this starves nobody. Checks hear bad too where the jam is this
     * server's own. Should help whatever slows one server.
     */
    private void jam() {
        boolean was = jammed;
        jammed = unread > (jammed ? JAM_OVER : JAMMED);
        if (was != jammed) {
            actions.log(jammed ? "jam of unread tries begins" : "jam of unread tries ends");
        }
    }

    /** How far the worst of hold, wait unread and refusals is beyond its mark; 1 is at it. */
    private double pressure() {
        double waiting = Math.max(fill() / FILL_MARK, unread / UNREAD_MARK);
        boolean byRank = settings.callers().advice() == Advice.THRESHOLD;
        return byRank ? Math.max(waiting, refused / REFUSED_MARK) : waiting;
    }

    private double value() {
        return switch (settings.callers().advice()) {
            case THRESHOLD -> adviceSent;
            case SHARE -> 1 - adviceSent;
            default -> Math.max(1, 2.0 * depth * room * shown() * (1 - adviceSent)
                / Math.max(1, settings.callers().count()));
        };
    }

    /**
     * The share of its speed that a cold server is known to have, by what it was told or by the time of its
     * own runs beside their hints; a warm one counts as whole. Guards against the whole window told by a
     * fifth of a server, which its callers fill at once; may keep some away from one that warms faster than
     * it was told.
     */
    private double shown() {
        double told = speed();
        double seen = hints < SHOWN_BY ? 0 : Math.exp(logHint - logTime);
        return told >= 1 ? 1 : Math.min(1, Math.max(told, seen));
    }
}
