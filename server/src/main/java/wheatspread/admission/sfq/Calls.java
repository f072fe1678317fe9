package wheatspread.admission.sfq;

import java.util.ArrayList;
import java.util.List;
import wheatspread.admission.AdmissionSettings;
import wheatspread.admission.Outcome;

/** The calls below that runs wait for, bounded by what the dependency survives. */
abstract class Calls extends Depth {
    private static final double SHARE = 0.7; // of the told calls in hand, averaged over the told window
    private static final double LEAST = 0.4; // the bound on slow calls, as a share of the told ones
    private static final double SKIPPABLE_PART = 0.5; // of the bound, for calls which may be left out
    private static final double PATIENCE = 0.3; // with a call that may be left out; share of the class's aim
    private static final double BURST = 2; // in hand at once, times the bound on their mean
    private static final double GAIN = 0.1; // smoothing of the call time, per call
    private static final double DRIFT = 1.001; // of the usual call time: no lucky spell sets it for good
    private static final double SLOW = 2.0; // times the usual call time: the bound shrinks
    /** A difference between call times that the process's own turns on its core account for; us. */
    private static final double NOISE = 10_000;
    /** Wait at a call, as a share of the class's aim, after which it is skipped where that earns worth. */
    private static final double SKIP_AFTER = 0.1;
    /** Calls for one request at one point before it is given up; each further one waits a tick more. */
    private static final int TRIES = 5;

    private final double told = settings.dependency().maxConcurrentCalls();
    private int out;
    private long countedAt;
    private double bound = told, outMean, usual, lately;
    private final List<Long> lingering = new ArrayList<>();

    Calls(AdmissionSettings settings) {
        super(settings);
    }

    abstract void giveUp(Job job);

    void makeCalls() {
        count();
        List<Job> waiting = new ArrayList<>(standing);
        waiting.removeIf(job -> job.answered);
        waiting.sort((a, b) -> a.aim < now != b.aim < now
                ? Boolean.compare(a.aim < now, b.aim < now)
                : Double.compare(a.start, b.start));
        for (Job job : waiting) {
            boolean skippable = job.kind.degradedResponseWeight() > 0;
            boolean waited = now - job.since > SKIP_AFTER * job.kind.latencyObjectiveMicros();
            boolean rested = now >= job.since + job.calls * TICK;
            if (!job.callSpent && rested && room(skippable)) {
                call(job);
            } else if (skippable && (job.callSpent || waited)) {
                actions.skipDependency(job.id());
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
        if (job.kind.degradedResponseWeight() > 0) {
            left = Math.min(left, (long) (PATIENCE * job.kind.latencyObjectiveMicros()));
        } else if (job.kind.lateWeightFactor() == 0) {
            left = Math.min(
                    left, Math.max(job.aim - now, job.kind.latencyObjectiveMicros() / 2)); // later it earns nothing
        }
        job.calls++;
        job.since = now;
        out++;
        move(job, State.CALLING);
        actions.callDependency(job.id(), Math.max(settle, left));
    }

    private boolean room(boolean skippable) {
        if (told <= 0) {
            return true;
        }
        double share = skippable ? SKIPPABLE_PART : 1;
        return outMean < bound * SHARE * share && out + lingering.size() < Math.max(1, BURST * bound * share);
    }

    /** Mean of calls in the dependency's hands, those given up too, over the told window. */
    private void count() {
        lingering.removeIf(until -> until < now);
        double weight = Math.exp(
                -(now - countedAt) / Math.max(1.0, settings.dependency().averagingWindowMicros()));
        outMean = outMean * weight + (out + lingering.size()) * (1 - weight);
        countedAt = now;
    }

    @Override
    public void onCallCompleted(long id, Outcome outcome, long elapsed) {
        Job job = jobs.get(id);
        if (job == null || job.state != State.CALLING) {
            return;
        }
        boolean unseen = outcome == Outcome.QUEUE_FULL || outcome == Outcome.CONNECT_ERROR;
        // one without a reply says nothing of the others; where none gets one, their ages do
        ended(!unseen && outcome != Outcome.TIMED_OUT, elapsed);
        judge(unseen || slow(lately)); // what turns calls away is crowded
        job.since = now;
        if (outcome == Outcome.OK) {
            move(job, State.RUNNING);
            return;
        }
        job.callSpent = !job.mayRunAgain() && !unseen || job.calls >= TRIES;
        if (outcome == Outcome.TIMED_OUT) {
            linger();
        }
        move(job, State.STANDING);
    }

    /** The run ended before its call did. */
    void callAbandoned() {
        linger();
        ended(false, 0);
    }

    private void linger() {
        lingering.add(now + settings.dependency().abandonedCallLingerMicros());
    }

    private void ended(boolean seen, long elapsed) {
        count();
        out--;
        if (seen) {
            lately = lately == 0 ? elapsed : lately + GAIN * (elapsed - lately);
            usual = usual == 0 ? lately : Math.min(lately, usual * DRIFT);
        }
    }

    /** Hanging calls tell by their ages before any of them ends. */
    void judgeByAge() {
        if (slow(age())) {
            judge(true);
        }
    }

    private boolean slow(double time) {
        return usual > 0 && time > Math.max(SLOW * usual, usual + NOISE);
    }

    /** The median age of the calls in hand: a mean would take one lost reply for a slow service, and so would
     * a single call, unless hardly more may be in hand. */
    private double age() {
        long[] ages = jobs.values().stream()
                .filter(job -> job.state == State.CALLING)
                .mapToLong(job -> now - job.since)
                .sorted()
                .toArray();
        double enough = Math.max(1, Math.min(2, told / 2));
        return ages.length < enough ? 0 : ages[(ages.length - 1) / 2];
    }

    private void judge(boolean slow) {
        double least = told * LEAST;
        bound = slow ? Math.max(least, bound * 0.9) : Math.min(told, bound + least * 0.05);
    }
}
