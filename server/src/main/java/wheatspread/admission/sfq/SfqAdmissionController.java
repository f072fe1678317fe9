package wheatspread.admission.sfq;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import wheatspread.admission.AdmissionRequest;
import wheatspread.admission.AdmissionSettings;
import wheatspread.admission.Idempotency;
import wheatspread.admission.LoadGauges;
import wheatspread.admission.Outcome;
import wheatspread.admission.PreemptionMode;
import wheatspread.admission.RequestClass;

/** SFQ(D): tenants are flows with FIFO queues. A request gets S = max(v, F_prev) and F = S + c/phi; the
 * smallest start tag is dispatched while fewer than D requests run, and v follows it. The rest of the
 * module sets D, bounds the hold, keeps the four rules and tells callers how much to send. */
public final class SfqAdmissionController extends Signals {
    /** Runs per core that start whatever the estimate says, or a slow server would never find out. */
    private static final double PROBES = 0.34;

    private final SplittableRandom random;
    private final List<Job> arrivals = new ArrayList<>();
    private final Set<Long> neverRan = new HashSet<>();
    private long nextTick;

    /** The seed only spreads the times after which refused callers come back. */
    public SfqAdmissionController(AdmissionSettings settings, long seed) {
        super(settings);
        random = new SplittableRandom(seed);
    }

    @Override
    public void beginBatch(long clock) {
        now = clock;
        if (startedAt < 0) {
            startedAt = clock;
        }
        gauges = null;
        if (nextTick > 0 && clock > nextTick + TICK) {
            stall = clock - nextTick;
            stallOver = clock + stall;
        }
    }

    @Override
    public void onArrival(AdmissionRequest request) {
        if (request.requestClass() < 0
                || request.requestClass() >= settings.classes().size()) {
            throw new IllegalArgumentException("request of unknown class " + request.requestClass());
        }
        RequestClass kind = settings.classes().get(request.requestClass());
        Job job = new Job(request, kind, flow(request.tenant()), now, spent(request, kind));
        move(job, State.HELD);
        jobs.put(job.id(), job);
        arrivals.add(job);
        countArrival(job);
    }

    @Override
    public void onCompletion(long id, Outcome outcome, long elapsed) {
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
            callAbandoned();
        }
        keepAnswer(job, outcome == Outcome.OK);
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
    public void onBlocked(long id) {
        Job job = jobs.get(id);
        if (job != null && job.state == State.RUNNING) {
            job.onCores += now - job.since;
            job.since = now;
            job.calls = 0;
            move(job, State.STANDING);
        }
    }

    @Override
    public void onCancellation(long id) {
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
    public void onDrain(long left) {
        retiredAt = now;
        stopAt = now + left;
    }

    @Override
    public void onTimer(LoadGauges reading) {
        gauges = reading;
    }

    @Override
    public void decide(Actions sink) {
        actions = sink;
        boolean tick = now >= nextTick;
        if (nextTick == 0) {
            sink.setHealth(true, true);
        }
        if (tick) {
            dropOldKeys();
            expire();
            estimateSlot();
            judgeByAge();
            setDepth();
        }
        admit();
        refuseWhile(this::crowdedByHold);
        makeCalls();
        dispatch();
        refuseWhile(() -> fill() > 1);
        if (tick) {
            steer();
            nextTick = now + TICK;
            sink.scheduleWakeup(TICK);
        }
        if (held + begun == 0) {
            virtualTime = Math.max(virtualTime, largestServed);
        }
        neverRan.clear();
        actions = null;
    }

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
            actions.scheduleWakeup(Math.max(1, soonest - now));
        }
    }

    /** A paused run that owes its answer goes on, once: it kept its memory, and a write may not run anew. */
    private void takeUp(Job job) {
        if (settings.preemptionMode() == PreemptionMode.SUSPEND
                && !job.takenUp
                && now < Math.min(job.due, stopAt) - settle) {
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
        AdmissionRequest request = job.request;
        boolean repeat = request.duplicateOf() != 0 && !neverRan.contains(request.duplicateOf());
        if (repeat && job.kind.idempotency() != Idempotency.AT_MOST_ONCE) {
            move(job, State.JOINING);
            if (memoryFull()) {
                giveUp(job); // repeats pile up; what it repeats may have run, so it is not refused
            } else {
                actions.joinResult(job.id());
            }
        } else if (retiredAt >= 0 && job.arrival > retiredAt + limits.drainGraceMicros() || job.worthless(now)) {
            refuse(job, true);
        } else if (job.kind.idempotency() == Idempotency.IDEMPOTENCY_KEY && !pin(job, true)) {
            refuse(job, false);
        } else {
            if (settings.cacheTtlMicros() > 0 && job.mayRunAgain() && request.cacheable() && !request.write()) {
                pin(job, false); // its answer may serve others that read the same
            }
            enqueue(job, cost(job));
        }
    }

    private void dispatch() {
        for (Job job = smallestStart(); job != null && depthToRun(); job = smallestStart()) {
            if (hopeless(job)) {
                refuse(job, true);
            } else if (!memoryToRun(job)) {
                return;
            } else {
                dispatched(job);
                move(job, State.RUNNING);
                countTurn(0);
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
        while (smallestStart() != null && over.getAsBoolean()) {
            refuse(furthestAhead().leastWorth(), false);
        }
    }

    private void refuse(Job job, boolean dontRetry) {
        countTurn(1);
        boolean pressed = pressure() > 1;
        long most = settings.clients().maxRetryAfterMicros();
        actions.reject(job.id(), pressed ? (long) (most * (1 + random.nextDouble()) / 3) : 0, dontRetry || pressed);
        neverRan.add(job.id());
        unpin(job);
        forget(job);
    }

    private void forget(Job job) {
        dequeue(job);
        move(job, State.OVER);
        jobs.remove(job.id());
    }

    /** Answers what is due or can no longer earn anything. */
    private void expire() {
        for (Job job : new ArrayList<>(jobs.values())) {
            boolean over = now >= Math.min(job.due - settle, stopAt - STOP_MARGIN / 2) - TICK;
            if (job.answered) {
                stop(job);
            } else if (job.state == State.HELD) {
                if (over || now > job.aim) {
                    refuse(job, true);
                }
            } else if (over || job.worthless(now) && job.kind.idempotency() != Idempotency.IDEMPOTENCY_KEY) {
                giveUp(job);
            }
        }
    }

    /** Answers a begun or joining request with an error, and stops its work where that is possible. */
    @Override
    void giveUp(Job job) {
        actions.fail(job.id());
        job.answered = true;
        if (job.state == State.JOINING) {
            forget(job);
        } else if (stop(job)) {
            learnHint(job, job.onCores + now - job.since, 1);
        }
    }

    private boolean stop(Job job) {
        boolean may =
                job.state == State.RUNNING && job.joiners == 0 && settings.preemptionMode() != PreemptionMode.NONE;
        if (may) {
            actions.preempt(job.id());
        }
        return may;
    }
}
