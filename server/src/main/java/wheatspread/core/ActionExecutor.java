package wheatspread.core;

import wheatspread.admission.AdmissionController;
import wheatspread.admission.Outcome;
import wheatspread.admission.RequestClass;

/** Carries out the module's actions. */
final class ActionExecutor implements AdmissionController.Actions {
    /** What the module fails this shortly before it is due, it fails for want of time; us. */
    private static final long NEARLY_DUE = 100_000;

    private final Core core;

    ActionExecutor(Core core) {
        this.core = core;
    }

    @Override
    public void run(long id) {
        Attempt one = core.table.byNumber(id);
        if (one == null || one.answered() && one.run == Attempt.Run.NONE) {
            moot(id);
        } else if (one.run == Attempt.Run.PAUSED) {
            one.run = Attempt.Run.ACTIVE;
            one.stopAsked = false;
            core.counts.resumed++;
            core.kernel.resume(one.submission.job());
        } else if (one.run == Attempt.Run.NONE && repeats(one)) {
            joinResult(id); // no second run, whatever the module says, and no refusal after a run
        } else if (one.run == Attempt.Run.NONE && !mayRun(one)) {
            moot(id);
            core.answers.finish(one, Answer.Kind.REJECTED, null, 0, false);
        } else if (one.run == Attempt.Run.NONE) {
            one.run = Attempt.Run.ACTIVE;
            core.counts.runs++;
            core.kernel.run(
                    one.submission.job(),
                    core.site().classes().get(one.submission.requestClass()),
                    one.submission.body());
        }
    }

    private void moot(long id) {
        core.batches.event(m -> m.onCompletion(id, Outcome.IGNORED, 0));
    }

    /** Whether another try stands for the key. */
    private boolean repeats(Attempt one) {
        if (one.submission.idempotencyKey() == null) {
            return false;
        }
        standForKey(one);
        return one.entry.owner != one;
    }

    /**
     * Where the try that it repeats was let go without a run, a try stands for the key itself, unless another
     * one that repeated the same was first.
     */
    private void standForKey(Attempt one) {
        boolean free = one.entry == null
                || one.entry.owner != one
                        && !core.keys.holds(one.entry)
                        && (one.submission.idempotencyKey() == null || !one.entry.owner.everRan());
        if (free) {
            IdempotencyTable.Entry other = core.keys.find(one.submission, core.batches.now());
            one.entry = other == null ? core.keys.put(one) : other;
        }
    }

    /** Guards against a run past the grace, and one of a key that the other process of an upgrade ran. */
    private boolean mayRun(Attempt one) {
        InboundRequest s = one.submission;
        if (one.late || core.graceIsOver(s.arrivalMicros())) {
            return false;
        }
        return s.idempotencyKey() == null
                || core.claims.claim(one.entry.key, s.arrivalMicros(), core.keys.window(s.requestClass()));
    }

    @Override
    public void reject(long id, long stayAway, boolean dontRetry) {
        Attempt one = core.table.byNumber(id);
        if (one != null) {
            Answer.Kind kind = one.everRan() ? Answer.Kind.FAILED : Answer.Kind.REJECTED;
            core.answers.finish(one, kind, null, stayAway, dontRetry);
        }
    }

    @Override
    public void fail(long id) {
        Attempt one = core.table.byNumber(id);
        if (one != null) {
            RequestClass kind = core.site().settings().classes().get(one.submission.requestClass());
            InboundRequest s = one.submission;
            long now = core.batches.now();
            boolean late =
                    now > s.arrivalMicros() + kind.latencyObjectiveMicros() || now > s.deadlineMicros() - NEARLY_DUE;
            core.answers.finish(one, late ? Answer.Kind.DEADLINE_EXCEEDED : Answer.Kind.FAILED, null, 0, false);
        }
    }

    @Override
    public void preempt(long id) {
        Attempt one = core.table.byNumber(id);
        // the module asks again at every tick until the stop is confirmed; the kernel is asked once
        if (one != null && one.run == Attempt.Run.ACTIVE && !one.stopAsked) {
            one.stopAsked = true;
            core.kernel.pause(one.submission.job());
        }
    }

    @Override
    public void callDependency(long id, long giveUpAfter) {
        Attempt one = core.table.byNumber(id);
        if (one == null || one.notice == 0 || one.answered()) {
            return; // nobody waits: the kernel ends the run at its call, and tells
        }
        core.calls.make(one, giveUpAfter, core.kernel);
    }

    @Override
    public void skipDependency(long id) {
        Attempt one = core.table.byNumber(id);
        if (one != null && one.notice != 0) {
            core.calls.skip(one, core.kernel);
        }
    }

    @Override
    public void retainKey(long id, long ttl) {
        Attempt one = core.table.byNumber(id);
        if (one == null) {
            return;
        }
        standForKey(one);
        one.entry.pinnedUntil = core.batches.now() + ttl;
    }

    @Override
    public void releaseKey(long id) {
        Attempt one = core.table.byNumber(id);
        if (one != null && one.entry != null && one.entry.owner == one) {
            one.entry.pinnedUntil = 0; // the sweep takes it once no second run can follow
        }
    }

    @Override
    public void joinResult(long id) {
        Attempt one = core.table.byNumber(id);
        if (one == null || one.answered()) {
            return;
        }
        core.counts.joins++;
        one.joinedAt = core.clock.nowMicros();
        if (one.entry.end != null) {
            core.answers.joined(one, one.entry.end, one.entry.result);
        } else {
            one.entry.owner.joiners.add(one);
        }
    }

    @Override
    public void setHealth(boolean good, boolean stored) {
        core.healthy(good);
    }

    @Override
    public void setLoadFeedback(double value) {
        core.answers.advise(value);
    }

    @Override
    public void setIdleTimeout(long after) {
        core.idleCloser.accept(after);
    }

    @Override
    public void scheduleWakeup(long after) {
        core.batches.wake(after);
    }

    @Override
    public void log(String text) {
        core.log.info("module", "text", text);
    }
}
