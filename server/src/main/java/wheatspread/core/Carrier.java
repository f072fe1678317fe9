package wheatspread.core;

import wheatspread.admission.Admission;
import wheatspread.admission.Admission.Outcome;

/** Carries out the module's actions. */
final class Carrier implements Admission.Actions {
    /** What the module fails this shortly before it is due, it fails for want of time; us. */
    private static final long NEARLY_DUE = 100_000;

    private final Core core;

    Carrier(Core core) {
        this.core = core;
    }

    @Override
    public void run(long id) {
        Try one = core.table.byNumber(id);
        if (one == null || one.answered() && one.run == Try.Run.NONE) {
            moot(id);
        } else if (one.run == Try.Run.PAUSED) {
            one.run = Try.Run.ACTIVE;
            one.stopAsked = false;
            core.counts.resumed++;
            core.kernel.resume(one.submission.job());
        } else if (one.run == Try.Run.NONE && repeats(one)) {
            join(id); // no second run, whatever the module says, and no refusal after a run
        } else if (one.run == Try.Run.NONE && !mayRun(one)) {
            moot(id);
            core.answers.finish(one, Answer.Kind.REFUSED, null, 0, false);
        } else if (one.run == Try.Run.NONE) {
            one.run = Try.Run.ACTIVE;
            core.counts.runs++;
            core.kernel.run(
                    one.submission.job(), core.site().classes().get(one.submission.kind()), one.submission.body());
        }
    }

    private void moot(long id) {
        core.batches.event(m -> m.completed(id, Outcome.IGNORED, 0));
    }

    /** Whether another try stands for the key. */
    private boolean repeats(Try one) {
        if (one.submission.unique() == null) {
            return false;
        }
        standForKey(one);
        return one.entry.owner != one;
    }

    /**
     * Where the try that it repeats was let go without a run, a try stands for the key itself, unless another
     * one that repeated the same was first.
     */
    private void standForKey(Try one) {
        boolean free = one.entry == null
                || one.entry.owner != one
                        && !core.keys.holds(one.entry)
                        && (one.submission.unique() == null || !one.entry.owner.everRan());
        if (free) {
            KeyTable.Entry other = core.keys.find(one.submission, core.batches.now());
            one.entry = other == null ? core.keys.put(one) : other;
        }
    }

    /** Guards against a run past the grace, and one of a key that the other process of an upgrade ran. */
    private boolean mayRun(Try one) {
        Submission s = one.submission;
        if (one.late || core.graceIsOver(s.door())) {
            return false;
        }
        return s.unique() == null || core.claims.claim(one.entry.key, s.door(), core.keys.window(s.kind()));
    }

    @Override
    public void refuse(long id, long stayAway, boolean dontRetry) {
        Try one = core.table.byNumber(id);
        if (one != null) {
            Answer.Kind kind = one.everRan() ? Answer.Kind.FAILED : Answer.Kind.REFUSED;
            core.answers.finish(one, kind, null, stayAway, dontRetry);
        }
    }

    @Override
    public void fail(long id) {
        Try one = core.table.byNumber(id);
        if (one != null) {
            Admission.RequestClass kind = core.site().settings().classes().get(one.submission.kind());
            Submission s = one.submission;
            long now = core.batches.now();
            boolean late = now > s.door() + kind.aim() || now > s.due() - NEARLY_DUE;
            core.answers.finish(one, late ? Answer.Kind.OUT_OF_TIME : Answer.Kind.FAILED, null, 0, false);
        }
    }

    @Override
    public void stop(long id) {
        Try one = core.table.byNumber(id);
        // the module asks again at every tick until the stop is confirmed; the kernel is asked once
        if (one != null && one.run == Try.Run.ACTIVE && !one.stopAsked) {
            one.stopAsked = true;
            core.kernel.pause(one.submission.job());
        }
    }

    @Override
    public void call(long id, long giveUpAfter) {
        Try one = core.table.byNumber(id);
        if (one == null || one.notice == 0 || one.answered()) {
            return; // nobody waits: the kernel ends the run at its call, and tells
        }
        core.calls.make(one, giveUpAfter, core.kernel);
    }

    @Override
    public void skipCall(long id) {
        Try one = core.table.byNumber(id);
        if (one != null && one.notice != 0) {
            core.calls.skip(one, core.kernel);
        }
    }

    @Override
    public void pin(long id, long ttl) {
        Try one = core.table.byNumber(id);
        if (one == null) {
            return;
        }
        standForKey(one);
        one.entry.pinnedUntil = core.batches.now() + ttl;
    }

    @Override
    public void unpin(long id) {
        Try one = core.table.byNumber(id);
        if (one != null && one.entry != null && one.entry.owner == one) {
            one.entry.pinnedUntil = 0; // the sweep takes it once no second run can follow
        }
    }

    @Override
    public void join(long id) {
        Try one = core.table.byNumber(id);
        if (one == null || one.answered()) {
            return;
        }
        core.counts.joins++;
        one.joinedAt = core.clock.now();
        if (one.entry.end != null) {
            core.answers.joined(one, one.entry.end, one.entry.result);
        } else {
            one.entry.owner.joiners.add(one);
        }
    }

    @Override
    public void health(boolean good, boolean stored) {
        core.healthy(good);
    }

    @Override
    public void advise(double value) {
        core.answers.advise(value);
    }

    @Override
    public void closeIdle(long after) {
        core.idleCloser.accept(after);
    }

    @Override
    public void wake(long after) {
        core.batches.wake(after);
    }

    @Override
    public void log(String text) {
        core.log.info("module", "text", text);
    }
}
