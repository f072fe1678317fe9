package wheatspread.core;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import wheatspread.admission.Admission;
import wheatspread.admission.Admission.Effect;
import wheatspread.admission.Admission.Outcome;
import wheatspread.admission.Admission.Settings;
import wheatspread.logging.EventLog;

/**
 * Carries out what the module decides, and keeps what every front's requests share: the request table, the
 * key table, timers, gauges, drain and the final answers. It knows no wire. All calls come from one thread;
 * events are gathered and handed to the module together, as the simulator's batches are.
 */
public final class Core implements Kernel.Listener {
    /** The core fails a request this long before it is due, whatever the module does; us. */
    private static final long DUE_MARGIN = 5_000;
    /** What the module fails this shortly before it is due, it fails for want of time; us. */
    private static final long NEARLY_DUE = 100_000;
    /** All that is still open is failed this long before the process is stopped; us. */
    private static final long STOP_MARGIN = 200_000;
    /** How often keys whose time is over are taken out; us. */
    private static final long SWEEP = 1_000_000;
    /** Tries in hand beyond which new ones are refused unseen: a bound on memory, far over what is usual. */
    private static final int MOST_IN_HAND = 2_000;

    private Site site;
    /** Whether the kernel started cold, as its first boot said. */
    private boolean cold;
    private final Function<Settings, Admission> newModule;
    private final Clock clock;
    private final Calls calls;
    private final Announcer announcer;
    private final EventLog log;
    private final RequestTable table = new RequestTable();
    private final KeyTable keys;
    private Claims claims = Claims.NONE;
    private final Counts counts = new Counts();
    private final Carrier carrier = new Carrier();
    private Kernel kernel;
    private Consumer<Long> idleCloser = after -> { };

    private final Batches batches;
    private double feedback = Double.NaN;
    private boolean healthy = true;
    private long retiredAt = Long.MAX_VALUE;
    private long warmAt;
    private Runnable whenUp = () -> { };

    public Core(Site site, Function<Settings, Admission> newModule, Clock clock, Records records,
                Announcer announcer, EventLog log) {
        this.site = site;
        this.newModule = newModule;
        this.clock = clock;
        this.announcer = announcer;
        this.log = log;
        batches = new Batches(clock, () -> kernel.askGauges(), log);
        calls = new Calls(clock, records, batches::event, counts);
        keys = new KeyTable(windows(site));
    }

    private static long[] windows(Site site) {
        return site.settings().classes().stream().mapToLong(c -> c.effect() == Effect.KEYED ? c.window() : 0)
            .toArray();
    }

    /**
     * Takes the classes of a site retuned at SIGHUP (see {@link Site#retunedTo}) and returns the site that
     * now holds; the module hears of it before any request of a new class.
     */
    public Site retune(Site next) {
        Site merged = site.retunedTo(next);
        site = merged;
        keys.retune(windows(merged));
        if (batches.begun()) {
            event(m -> m.retuned(merged.settings(cold)));
        }
        return merged;
    }

    /** Where two processes of this server share one name: the runs of keys the other one made. */
    public void shareKeysWith(Claims shared) {
        claims = shared;
    }

    /** The kernel needs the core as its listener, so it is handed in afterwards. */
    public void attach(Kernel link) {
        kernel = link;
    }

    /** Who closes connections unused for so many microseconds when the module asks for it. */
    public void closeIdleWith(Consumer<Long> closer) {
        idleCloser = closer;
    }

    /** What to do when the kernel is up for the first time. */
    public void whenUp(Runnable task) {
        whenUp = task;
    }

    /** What is in hand, by how far it has come. */
    public record InHand(int held, int running, int paused, int calling, int joined) { }

    /** What owes an answer now; a paused run counts where a repeat waits for it. */
    public InHand inHand() {
        int[] of = new int[5];
        for (Try one : table.unanswered()) {
            of[one.joinedAt > 0 ? 4 : one.notice != 0 ? 3 : one.run.ordinal()]++;
        }
        return new InHand(of[0], of[1], of[2], of[3], of[4]);
    }

    /** How long until this server is warm at the latest, in microseconds; 0 once it is. */
    public long warmIn() {
        return Math.max(0, warmAt - clock.now());
    }

    /** The counts of this moment. */
    public Counts countsNow() {
        return counts.copy();
    }

    public Site site() {
        return site;
    }

    public Counts counts() {
        return counts;
    }

    // ---- what fronts say ----

    /**
     * Takes a try into the hold; its reply gets one answer. The result is the ticket for {@link #gone}, or
     * null if it was answered already.
     */
    public Long submit(Submission submission, Reply reply) {
        counts.read++;
        boolean tooLate = submission.due() - DUE_MARGIN <= clock.now();
        if (!batches.begun() || tooLate || table.size() >= MOST_IN_HAND) {
            counts.count(submission.kind(), Answer.Kind.REFUSED);
            reply.answer(new Answer(Answer.Kind.REFUSED, null, 0, false, feedback));
            return null;
        }
        if (table.byJob(submission.job()) != null) {
            counts.count(submission.kind(), Answer.Kind.CONFLICT);
            reply.answer(new Answer(Answer.Kind.CONFLICT, null, 0, false, feedback)); // that name is in use
            return null;
        }
        Try one = table.add(submission, reply);
        one.late = graceIsOver(clock.now()); // its last byte came now, whenever its first one did
        long left = submission.due() - DUE_MARGIN - clock.now();
        one.dueTimer = clock.after(Math.max(0, left), () -> due(one));
        event(m -> arrive(m, one));
        return one.number;
    }

    private void arrive(Admission to, Try one) {
        Submission s = one.submission;
        long now = batches.now();
        KeyTable.Entry entry = keys.find(s, now);
        boolean reads = s.unique() == null;
        one.entry = entry;
        if (entry == null && !reads) {
            one.entry = keys.put(one);
        }
        if (one.answered()) {
            release(one);
            return; // its caller went, or its time was up, before the module saw it
        }
        if (!reads && entry != null && !entry.sameBody(s)) {
            // the result of the try that has the key was made of another body, and is not for this caller
            finish(one, Answer.Kind.CONFLICT, null, 0, false);
            return;
        }
        boolean write = site.settings().classes().get(s.kind()).effect() != Effect.IDEMPOTENT;
        to.arrived(new Admission.Request(one.number, s.tenant(), s.kind(), Math.max(0, now - s.door()),
            s.limited() ? Math.max(1, s.due() - now) : 0, entry == null ? 0 : entry.owner.number,
            s.further(), s.item() != null, write, s.heldKb(), s.hint()));
    }

    /**
     * Answers a try that is not taken in: a bound of the server's front has been reached. It never runs, and
     * its caller hears after how many microseconds to come back, where the settings allow that.
     */
    public void turnAway(int kind, Reply reply, long later) {
        counts.read++;
        counts.count(kind, Answer.Kind.REFUSED);
        reply.answer(new Answer(Answer.Kind.REFUSED, null, Math.min(later, mostStayAway()), false, feedback));
    }

    /** How long a caller may be asked to stay away; 0 where the settings don't allow it. */
    public long mostStayAway() {
        return site.settings().callers().maxStayAway();
    }

    /** The caller of a try no longer waits: no answer is owed. */
    public void gone(Long ticket) {
        Try one = ticket == null ? null : table.byNumber(ticket);
        if (one == null || one.answered()) {
            return;
        }
        counts.gone++;
        one.reply = null;
        one.dueTimer.cancel();
        event(m -> m.gone(one.number));
        letGo(one);
    }

    /** The caller of a try can say nothing more, but may still read: refuses the try if it never ran. */
    public void refuseUnlessBegun(Long ticket) {
        Try one = ticket == null ? null : table.byNumber(ticket);
        if (one != null && !one.answered() && !one.everRan() && one.joinedAt == 0) {
            event(m -> m.gone(one.number));
            finish(one, Answer.Kind.REFUSED, null, 0, false);
        }
    }

    /** What health checks hear. */
    public boolean well() {
        return batches.begun() && healthy;
    }

    /** The free value that goes with answers and checks; NaN where none is set. */
    public double feedback() {
        return feedback;
    }

    /** How many tries still owe an answer. */
    public int open() {
        return table.unanswered().size();
    }

    // ---- drain ----

    /**
     * The notice to leave, which came at {@code noticeAt} in Unix microseconds: the process is stopped
     * {@code stopAfter} microseconds after it.
     */
    public void drain(long noticeAt, long stopAfter) {
        retiredAt = noticeAt;
        healthy = false;
        announcer.announce(false);
        long left = Math.max(0, noticeAt + stopAfter - clock.now());
        event(m -> m.retiring(left));
        clock.after(Math.max(0, left - STOP_MARGIN), () -> table.unanswered().forEach(this::due));
    }

    /** Whether what is written now is written over the grace after the notice, and must not run. */
    private boolean graceIsOver(long at) {
        return retiredAt != Long.MAX_VALUE && at > retiredAt + site.settings().limits().drainGrace();
    }

    /** Answers all that is open, now: who was not begun hears that it never ran. */
    public void answerAll() {
        for (Try one : table.unanswered()) {
            boolean ran = one.everRan() || one.joinedAt > 0;
            event(m -> m.gone(one.number));
            finish(one, ran ? Answer.Kind.FAILED : Answer.Kind.REFUSED, null, 0, true);
        }
    }

    // ---- what the kernel tells ----

    @Override
    public void booted(boolean cold, long age) {
        if (batches.begun()) {
            return; // the link came back; the module goes on
        }
        this.cold = cold;
        Admission module = newModule.apply(site.settings(cold));
        batches.begin(module, carrier, clock.now() - age);
        warmAt = cold ? clock.now() - age + site.settings().limits().coldFor() : 0;
        clock.after(SWEEP, this::sweep);
        if (retiredAt == Long.MAX_VALUE) {
            announcer.announce(true);
        }
        whenUp.run();
    }

    @Override
    public void blocked(String job, long notice, byte[] call) {
        Try one = table.byJob(job);
        if (one == null) {
            return;
        }
        one.notice = notice;
        one.callBody = call;
        event(m -> m.blocked(one.number));
    }

    @Override
    public void ended(String job, Kernel.End end, long took, byte[] result) {
        Try one = table.byJob(job);
        if (one == null) {
            return;
        }
        Calls.drop(one);
        switch (end) {
            case OK -> over(one, end, result, Outcome.OK, took);
            case ERROR -> over(one, end, null, Outcome.FAILED, took);
            case STOPPED -> {
                one.paused = true;
                if (one.answered()) {
                    over(one, end, null, Outcome.CANCELED, took);
                } else {
                    one.run = Try.Run.PAUSED; // it still owes an answer, and the module decides which
                    event(m -> m.completed(one.number, Outcome.CANCELED, took));
                }
            }
            default -> notTakenUp(one);
        }
    }

    /** The kernel ended a try at its word: it never ran, unless it was paused before and taken up again. */
    private void notTakenUp(Try one) {
        if (one.paused) {
            over(one, Kernel.End.STOPPED, null, Outcome.CANCELED,
                0); // a second run is forbidden all the same
        } else {
            neverStarted(one);
        }
    }

    /** The kernel started nothing: the try never ran, and gives its key free. */
    private void neverStarted(Try one) {
        one.run = Try.Run.NONE;
        event(m -> m.completed(one.number, Outcome.IGNORED, 0));
        finish(one, Answer.Kind.FAILED, null, 0, false);
    }

    private void over(Try one, Kernel.End end, byte[] result, Outcome outcome, long took) {
        event(m -> m.completed(one.number, outcome, took));
        settle(one, end, result);
    }

    /** Notes how a run ended, and answers it and all that wait for its result. */
    private void settle(Try one, Kernel.End end, byte[] result) {
        one.run = Try.Run.ENDED;
        boolean ok = end == Kernel.End.OK;
        if (one.entry != null && one.entry.owner == one) {
            one.entry.end = end;
            one.entry.result = result;
        }
        finish(one, ok ? Answer.Kind.SERVED : Answer.Kind.FAILED, result, 0, false);
        for (Try joiner : new ArrayList<>(one.joiners)) {
            joined(joiner, end, result);
        }
        one.joiners.clear();
        table.remove(one);
    }

    private void joined(Try joiner, Kernel.End end, byte[] result) {
        boolean ok = end == Kernel.End.OK;
        long took = clock.now() - joiner.joinedAt;
        event(m -> m.completed(joiner.number, ok ? Outcome.OK : Outcome.FAILED, took));
        finish(joiner, ok ? Answer.Kind.SERVED : Answer.Kind.FAILED, result, 0, false);
    }

    @Override
    public void notStarted(String job) {
        Try one = table.byJob(job);
        if (one != null && one.run == Try.Run.ACTIVE) {
            log.warn("kernel_not_started", "job", job);
            notTakenUp(one);
        }
    }

    @Override
    public void gauges(double[] row) {
        batches.read(Site.reading(site.gauges(), i -> i < row.length ? row[i] : Double.NaN));
    }

    // ---- the final answer ----

    /** The one place that gives a final answer, once. */
    private void finish(Try one, Answer.Kind kind, byte[] body, long later, boolean last) {
        Reply reply = one.reply;
        if (reply != null) {
            one.reply = null;
            one.dueTimer.cancel();
            counts.count(one.submission.kind(), kind);
            reply.answer(new Answer(kind, body, later, last, feedback));
        }
        letGo(one);
    }

    /** A request is failed when it is due, even if nothing else happens. */
    private void due(Try one) {
        if (!one.answered()) {
            counts.overdue++;
            event(m -> m.gone(one.number));
            finish(one, Answer.Kind.OUT_OF_TIME, null, 0, false);
        }
    }

    /** Once nobody waits: its call is given up, and it leaves the table unless its run goes on. */
    private void letGo(Try one) {
        Calls.drop(one);
        if (one.joinedAt > 0 && one.entry != null) {
            one.entry.owner.joiners.remove(one);
        }
        if (one.run == Try.Run.PAUSED && one.answered()) {
            settle(one, Kernel.End.STOPPED, null); // nothing will take it up again
        } else if (one.run == Try.Run.NONE || one.run == Try.Run.ENDED) {
            release(one);
            table.remove(one);
        }
    }

    /** A try that ended without a run gives its key free; none of those that wait for it ran either. */
    private void release(Try one) {
        if (one.everRan() || one.entry == null || one.entry.owner != one) {
            return;
        }
        keys.remove(one.entry);
        List<Try> waiting = new ArrayList<>(one.joiners);
        one.joiners.clear();
        for (Try joiner : waiting) {
            event(m -> m.completed(joiner.number, Outcome.FAILED, clock.now() - joiner.joinedAt));
            finish(joiner, Answer.Kind.REFUSED, null, 0, false);
        }
    }

    private void sweep() {
        keys.sweep(clock.now());
        clock.after(SWEEP, this::sweep);
    }

    // ---- the module ----

    private void event(Consumer<Admission> event) {
        batches.event(event);
    }

    /** Carries out the module's actions. */
    private final class Carrier implements Admission.Actions {
        @Override
        public void run(long id) {
            Try one = table.byNumber(id);
            if (one == null || one.answered() && one.run == Try.Run.NONE) {
                moot(id);
            } else if (one.run == Try.Run.PAUSED) {
                one.run = Try.Run.ACTIVE;
                one.stopAsked = false;
                counts.resumed++;
                kernel.resume(one.submission.job());
            } else if (one.run == Try.Run.NONE && !mayRun(one)) {
                moot(id);
                finish(one, Answer.Kind.REFUSED, null, 0, false);
            } else if (one.run == Try.Run.NONE) {
                one.run = Try.Run.ACTIVE;
                counts.runs++;
                kernel.run(one.submission.job(), site.classes().get(one.submission.kind()),
                    one.submission.body());
            }
        }

        private void moot(long id) {
            event(m -> m.completed(id, Outcome.IGNORED, 0));
        }

        /** Guards rules 2 and 3 whatever the module says: no second run of a key, no run past the grace. */
        private boolean mayRun(Try one) {
            boolean late = one.late || graceIsOver(one.submission.door());
            Submission s = one.submission;
            boolean second = s.unique() != null && one.entry.owner != one;
            if (late || second || s.unique() == null) {
                return !late && !second;
            }
            // the other process of an upgrade may have run a try of this key, which this one has not seen
            return claims.claim(one.entry.key, s.door(), keys.window(s.kind()));
        }

        @Override
        public void refuse(long id, long stayAway, boolean dontRetry) {
            Try one = table.byNumber(id);
            if (one != null) {
                Answer.Kind kind = one.everRan() ? Answer.Kind.FAILED : Answer.Kind.REFUSED;
                finish(one, kind, null, stayAway, dontRetry);
            }
        }

        @Override
        public void fail(long id) {
            Try one = table.byNumber(id);
            if (one != null) {
                Admission.RequestClass kind = site.settings().classes().get(one.submission.kind());
                Submission s = one.submission;
                long now = batches.now();
                boolean late = now > s.door() + kind.aim() || now > s.due() - NEARLY_DUE;
                finish(one, late ? Answer.Kind.OUT_OF_TIME : Answer.Kind.FAILED, null, 0, false);
            }
        }

        @Override
        public void stop(long id) {
            Try one = table.byNumber(id);
            // the module asks again at every tick until the stop is confirmed; the kernel is asked once
            if (one != null && one.run == Try.Run.ACTIVE && !one.stopAsked) {
                one.stopAsked = true;
                kernel.pause(one.submission.job());
            }
        }

        @Override
        public void call(long id, long giveUpAfter) {
            Try one = table.byNumber(id);
            if (one == null || one.notice == 0 || one.answered()) {
                return; // nobody waits: the kernel ends the run at its call, and tells
            }
            calls.make(one, giveUpAfter, kernel);
        }

        @Override
        public void skipCall(long id) {
            Try one = table.byNumber(id);
            if (one != null && one.notice != 0) {
                calls.skip(one, kernel);
            }
        }

        @Override
        public void pin(long id, long ttl) {
            Try one = table.byNumber(id);
            if (one == null) {
                return;
            }
            // where the try that it repeats was let go without a run, it stands for the key itself
            if (one.entry == null || one.entry.owner != one && !keys.holds(one.entry)) {
                one.entry = keys.put(one);
            }
            one.entry.pinnedUntil = batches.now() + ttl;
        }

        @Override
        public void unpin(long id) {
            Try one = table.byNumber(id);
            if (one != null && one.entry != null && one.entry.owner == one) {
                one.entry.pinnedUntil = 0; // the sweep takes it once no second run can follow
            }
        }

        @Override
        public void join(long id) {
            Try one = table.byNumber(id);
            if (one == null || one.answered()) {
                return;
            }
            counts.joins++;
            one.joinedAt = clock.now();
            if (one.entry.end != null) {
                joined(one, one.entry.end, one.entry.result);
            } else {
                one.entry.owner.joiners.add(one);
            }
        }

        @Override
        public void health(boolean good, boolean stored) {
            healthy = good && retiredAt == Long.MAX_VALUE;
            announcer.announce(healthy);
        }

        @Override
        public void advise(double value) {
            feedback = value;
        }

        @Override
        public void closeIdle(long after) {
            idleCloser.accept(after);
        }

        @Override
        public void wake(long after) {
            batches.wake(after);
        }

        @Override
        public void log(String text) {
            log.info("module", "text", text);
        }
    }
}
