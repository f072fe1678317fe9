package wheatspread.core;

import java.util.function.Consumer;
import java.util.function.Function;
import wheatspread.admission.AdmissionController;
import wheatspread.admission.AdmissionRequest;
import wheatspread.admission.AdmissionSettings;
import wheatspread.admission.Idempotency;
import wheatspread.admission.Outcome;
import wheatspread.logging.EventLog;

/**
 * Carries out what the module decides, and keeps what every front's requests share: the request table, the
 * key table, timers, gauges, drain and the final answers. It knows no wire. All calls come from one thread;
 * events are gathered and handed to the module together, as the simulator's batches are.
 */
public final class Core implements Kernel.Listener {
    /** The core fails a request this long before it is due, whatever the module does; us. */
    private static final long DUE_MARGIN = 5_000;
    /** All that is still open is failed this long before the process is stopped; us. */
    private static final long STOP_MARGIN = 200_000;
    /** How often keys whose time is over are taken out; us. */
    private static final long SWEEP = 1_000_000;
    /** Tries in hand beyond which new ones are refused unseen: a bound on memory, far over what is usual. */
    private static final int MOST_IN_HAND = 2_000;

    private DeploymentSettings site;
    /** Whether the kernel started cold, as its first boot said. */
    private boolean cold;

    private final Function<AdmissionSettings, AdmissionController> newModule;
    final Clock clock;
    final DependencyCalls calls;
    private final Announcer announcer;
    final EventLog log;
    final AttemptTable table = new AttemptTable();
    final IdempotencyTable keys;
    IdempotencyClaims claims = IdempotencyClaims.NONE;
    final RequestCounters counts = new RequestCounters();
    private final ActionExecutor carrier = new ActionExecutor(this);
    Kernel kernel;
    Consumer<Long> idleCloser = after -> {};

    final EventBatcher batches;
    final FinalAnswers answers;
    private boolean healthy = true;
    private long retiredAt = Long.MAX_VALUE;
    private long warmAt;
    private Runnable whenUp = () -> {};

    public Core(
            DeploymentSettings site,
            Function<AdmissionSettings, AdmissionController> newModule,
            Clock clock,
            RecordsService records,
            Announcer announcer,
            EventLog log) {
        this.site = site;
        this.newModule = newModule;
        this.clock = clock;
        this.announcer = announcer;
        this.log = log;
        batches = new EventBatcher(clock, () -> kernel.askGauges(), log);
        calls = new DependencyCalls(clock, records, batches::event, counts);
        keys = new IdempotencyTable(windows(site));
        answers = new FinalAnswers(table, keys, counts, batches, clock);
    }

    private static long[] windows(DeploymentSettings site) {
        return site.settings().classes().stream()
                .mapToLong(c -> c.idempotency() == Idempotency.IDEMPOTENCY_KEY ? c.idempotencyWindowMicros() : 0)
                .toArray();
    }

    /**
     * Takes the classes of a site retuned at SIGHUP (see {@link DeploymentSettings#retunedTo}) and returns the site
     * that
     * now holds; the module hears of it before any request of a new class.
     */
    public DeploymentSettings retune(DeploymentSettings next) {
        DeploymentSettings merged = site.retunedTo(next);
        site = merged;
        keys.retune(windows(merged));
        if (batches.begun()) {
            event(m -> m.onSettingsChanged(merged.settings(cold)));
        }
        return merged;
    }

    /** Where two processes of this server share one name: the runs of keys the other one made. */
    public void shareKeysWith(IdempotencyClaims shared) {
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
    public record InHand(int held, int running, int paused, int calling, int joined) {}

    /** What owes an answer now; a paused run counts where a repeat waits for it. */
    public InHand inHand() {
        int[] of = new int[5];
        for (Attempt one : table.unanswered()) {
            of[one.joinedAt > 0 ? 4 : one.notice != 0 ? 3 : one.run.ordinal()]++;
        }
        return new InHand(of[0], of[1], of[2], of[3], of[4]);
    }

    /** How long until this server is warm at the latest, in microseconds; 0 once it is. */
    public long warmIn() {
        return Math.max(0, warmAt - clock.nowMicros());
    }

    /** The counts of this moment. */
    public RequestCounters countsNow() {
        return counts.copy();
    }

    public DeploymentSettings site() {
        return site;
    }

    public RequestCounters counts() {
        return counts;
    }

    // ---- what fronts say ----

    /**
     * Takes a try into the hold; its reply gets one answer. The result is the ticket for {@link #onCancellation}, or
     * null if it was answered already.
     */
    public Long submit(InboundRequest submission, Reply reply) {
        counts.read++;
        boolean tooLate = submission.deadlineMicros() - DUE_MARGIN <= clock.nowMicros();
        if (!batches.begun() || tooLate || table.size() >= MOST_IN_HAND) {
            counts.count(submission.requestClass(), Answer.Kind.REJECTED);
            reply.answer(new Answer(Answer.Kind.REJECTED, null, 0, false, feedback()));
            return null;
        }
        if (table.byJob(submission.job()) != null) {
            counts.count(submission.requestClass(), Answer.Kind.CONFLICT);
            reply.answer(new Answer(Answer.Kind.CONFLICT, null, 0, false, feedback())); // that name is in use
            return null;
        }
        Attempt one = table.add(submission, reply);
        one.late = graceIsOver(clock.nowMicros()); // its last byte came now, whenever its first one did
        long left = submission.deadlineMicros() - DUE_MARGIN - clock.nowMicros();
        one.dueTimer = clock.after(Math.max(0, left), () -> answers.due(one));
        event(m -> arrive(m, one));
        return one.number;
    }

    private void arrive(AdmissionController to, Attempt one) {
        InboundRequest s = one.submission;
        long now = batches.now();
        IdempotencyTable.Entry entry = keys.find(s, now);
        boolean reads = s.idempotencyKey() == null;
        one.entry = entry;
        if (entry == null && !reads) {
            one.entry = keys.put(one);
        }
        if (one.answered()) {
            answers.release(one);
            return; // its caller went, or its time was up, before the module saw it
        }
        if (!reads && entry != null && !entry.sameBody(s)) {
            // the result of the try that has the key was made of another body, and is not for this caller
            answers.finish(one, Answer.Kind.CONFLICT, null, 0, false);
            return;
        }
        boolean write = site.settings().classes().get(s.requestClass()).idempotency() != Idempotency.IDEMPOTENT;
        to.onArrival(new AdmissionRequest(
                one.number,
                s.tenant(),
                s.requestClass(),
                Math.max(0, now - s.arrivalMicros()),
                s.hasClientTimeout() ? Math.max(1, s.deadlineMicros() - now) : 0,
                entry == null ? 0 : entry.owner.number,
                s.retry(),
                s.cacheKey() != null,
                write,
                s.heldKb(),
                s.expectedWorkMicros()));
    }

    /**
     * Answers a try that is not taken in: a bound of the server's front has been reached. It never runs, and
     * its caller hears after how many microseconds to come back, where the settings allow that.
     */
    public void turnAway(int kind, Reply reply, long later) {
        counts.read++;
        counts.count(kind, Answer.Kind.REJECTED);
        long stayAway = Math.min(later, mostStayAway());
        reply.answer(new Answer(Answer.Kind.REJECTED, null, stayAway, false, feedback()));
    }

    /** How long a caller may be asked to stay away; 0 where the settings don't allow it. */
    public long mostStayAway() {
        return site.settings().clients().maxRetryAfterMicros();
    }

    /** The caller of a try no longer waits: no answer is owed. */
    public void gone(Long ticket) {
        Attempt one = ticket == null ? null : table.byNumber(ticket);
        if (one == null || one.answered()) {
            return;
        }
        counts.gone++;
        one.reply = null;
        one.dueTimer.cancel();
        event(m -> m.onCancellation(one.number));
        answers.letGo(one);
    }

    /** The caller of a try can say nothing more, but may still read: refuses the try if it never ran. */
    public void refuseUnlessBegun(Long ticket) {
        Attempt one = ticket == null ? null : table.byNumber(ticket);
        if (one != null && !one.answered() && !one.everRan() && one.joinedAt == 0) {
            event(m -> m.onCancellation(one.number));
            answers.finish(one, Answer.Kind.REJECTED, null, 0, false);
        }
    }

    /** What health checks hear. */
    public boolean well() {
        return batches.begun() && healthy;
    }

    /** The free value that goes with answers and checks; NaN where none is set. */
    public double feedback() {
        return answers.feedback();
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
        long left = Math.max(0, noticeAt + stopAfter - clock.nowMicros());
        event(m -> m.onDrain(left));
        clock.after(Math.max(0, left - STOP_MARGIN), () -> table.unanswered().forEach(answers::due));
    }

    /** Whether what is written now is written over the grace after the notice, and must not run. */
    boolean graceIsOver(long at) {
        return retiredAt != Long.MAX_VALUE
                && at > retiredAt + site.settings().limits().drainGraceMicros();
    }

    /** Answers all that is open, now: who was not begun hears that it never ran. */
    public void answerAll() {
        for (Attempt one : table.unanswered()) {
            boolean ran = one.everRan() || one.joinedAt > 0;
            event(m -> m.onCancellation(one.number));
            answers.finish(one, ran ? Answer.Kind.FAILED : Answer.Kind.REJECTED, null, 0, true);
        }
    }

    // ---- what the kernel tells ----

    @Override
    public void booted(boolean cold, long age) {
        if (batches.begun()) {
            return; // the link came back; the module goes on
        }
        this.cold = cold;
        AdmissionController module = newModule.apply(site.settings(cold));
        batches.begin(module, carrier, clock.nowMicros() - age);
        warmAt = cold ? clock.nowMicros() - age + site.settings().limits().warmUpMicros() : 0;
        clock.after(SWEEP, this::sweep);
        if (retiredAt == Long.MAX_VALUE) {
            announcer.announce(true);
        }
        whenUp.run();
    }

    @Override
    public void blocked(String job, long notice, byte[] call) {
        Attempt one = table.byJob(job);
        if (one == null) {
            return;
        }
        one.notice = notice;
        one.callBody = call;
        event(m -> m.onBlocked(one.number));
    }

    @Override
    public void ended(String job, Kernel.End end, long took, byte[] result) {
        Attempt one = table.byJob(job);
        if (one == null) {
            return;
        }
        DependencyCalls.drop(one);
        switch (end) {
            case OK -> answers.over(one, end, result, Outcome.OK, took);
            case ERROR -> answers.over(one, end, null, Outcome.FAILED, took);
            case STOPPED -> {
                one.paused = true;
                if (one.answered()) {
                    answers.over(one, end, null, Outcome.CANCELED, took);
                } else {
                    one.run = Attempt.Run.PAUSED; // it still owes an answer, and the module decides which
                    event(m -> m.onCompletion(one.number, Outcome.CANCELED, took));
                }
            }
            default -> notTakenUp(one);
        }
    }

    /** The kernel ended a try at its word: it never ran, unless it was paused before and taken up again. */
    private void notTakenUp(Attempt one) {
        if (one.paused) {
            answers.over(one, Kernel.End.STOPPED, null, Outcome.CANCELED, 0); // a second run is forbidden all the same
        } else {
            neverStarted(one);
        }
    }

    /** The kernel started nothing: the try never ran, and gives its key free. */
    private void neverStarted(Attempt one) {
        one.run = Attempt.Run.NONE;
        event(m -> m.onCompletion(one.number, Outcome.IGNORED, 0));
        answers.finish(one, Answer.Kind.FAILED, null, 0, false);
    }

    @Override
    public void notStarted(String job) {
        Attempt one = table.byJob(job);
        if (one != null && one.run == Attempt.Run.ACTIVE) {
            log.warn("kernel_not_started", "job", job);
            notTakenUp(one);
        }
    }

    @Override
    public void gauges(double[] row) {
        batches.read(DeploymentSettings.reading(site.gauges(), i -> i < row.length ? row[i] : Double.NaN));
    }

    private void sweep() {
        keys.sweep(clock.nowMicros());
        clock.after(SWEEP, this::sweep);
    }

    // ---- the module ----

    /** What the module has health checks hear, and the list; a server that leaves stays ill. */
    void healthy(boolean good) {
        healthy = good && retiredAt == Long.MAX_VALUE;
        announcer.announce(healthy);
    }

    private void event(Consumer<AdmissionController> event) {
        batches.event(event);
    }
}
