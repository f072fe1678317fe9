package wheatspread.core;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import wheatspread.admission.AdmissionController;
import wheatspread.admission.AdmissionSettings;
import wheatspread.logging.EventLog;

/**
 * Carries out what the admission controller decides on the requests of all fronts. It builds its collaborators and
 * passes calls on to them: {@link RequestLifecycle} for attempts, {@link KernelEvents} for runs,
 * {@link ActionExecutor} for the controller's actions, {@link FinalAnswers} for answers. It knows no wire.
 *
 * <p>All calls come from one thread. Events are gathered and handed to the controller in batches, see
 * {@link EventBatcher}. Times are microseconds.
 */
public final class Core implements Kernel.Listener {
    /** Attempts that are still unanswered are failed this long before the process is stopped. */
    private static final long FAIL_UNANSWERED_MARGIN_MICROS = 200_000;

    private static final long SWEEP_INTERVAL_MICROS = 1_000_000;

    private final Function<AdmissionSettings, AdmissionController> controllerFactory;
    private final Announcer announcer;
    private final Clock clock;
    private final ActiveSettings settings;
    private final DrainState drain;
    private final AttemptTable attempts;
    private final IdempotencyTable idempotencyTable;
    private final RequestCounters counters;
    private final AttachedKernel kernel;
    private final EventBatcher events;
    private final FinalAnswers answers;
    private final HealthState health;
    private final ActionExecutor actions;
    private final RequestLifecycle lifecycle;
    private final KernelEvents kernelEvents;
    private long warmAtMicros;
    private Runnable firstBootHandler = () -> {};

    /**
     * Builds a core that rejects all requests until the kernel has booted.
     *
     * @param initial the settings until the first reload
     * @param controllerFactory makes the admission controller, once, when the kernel has booted
     */
    public Core(
            DeploymentSettings initial,
            Function<AdmissionSettings, AdmissionController> controllerFactory,
            Clock clock,
            RecordsService records,
            Announcer announcer,
            EventLog log) {
        this.controllerFactory = controllerFactory;
        this.announcer = announcer;
        this.clock = clock;
        CoreContext context = CoreContext.create(initial, clock, log);
        settings = context.settings();
        drain = context.drain();
        attempts = context.attempts();
        idempotencyTable = context.idempotencyTable();
        counters = context.counters();
        kernel = context.kernel();
        events = context.events();
        answers = new FinalAnswers(context);
        health = new HealthState(announcer, drain);
        actions = new ActionExecutor(context, answers, new DependencyCalls(context, records), health);
        lifecycle = new RequestLifecycle(context, answers);
        kernelEvents = new KernelEvents(context, answers);
    }

    // ---- settings and collaborators ----

    /** The settings in force. */
    public DeploymentSettings settings() {
        return settings.current();
    }

    /**
     * Takes the classes of settings reloaded at SIGHUP, merges them into those in force (see
     * {@link DeploymentSettings}), and returns the result. The controller learns of them before any request of a new
     * class.
     */
    public DeploymentSettings reload(DeploymentSettings next) {
        settings.reload(next);
        idempotencyTable.applySettings(settings.current());
        if (events.started()) {
            AdmissionSettings reloaded = settings.forController();
            events.add(controller -> controller.onSettingsChanged(reloaded));
        }
        return settings.current();
    }

    /** Shares the claims on idempotency keys with another process of this server, during an upgrade. */
    public void shareIdempotencyClaims(IdempotencyClaims shared) {
        idempotencyTable.shareClaims(shared);
    }

    /** Sets the kernel, which needs the core as its listener and so is built after it. */
    public void attachKernel(Kernel link) {
        kernel.attach(link);
    }

    /** Sets who closes connections that were idle for so many microseconds, when the controller asks for it. */
    public void setIdleConnectionCloser(Consumer<Long> closer) {
        actions.setIdleConnectionCloser(closer::accept);
    }

    /** Sets what to do when the kernel is up for the first time. */
    public void setFirstBootHandler(Runnable task) {
        firstBootHandler = task;
    }

    // ---- attempts ----

    /**
     * Takes in an attempt, whose reply gets exactly one answer unless the client disconnects first. Returns the
     * ticket that identifies it in later calls, or null if it was answered at once.
     */
    public Long submit(InboundRequest request, Reply reply) {
        return lifecycle.submit(request, reply);
    }

    /**
     * Rejects an attempt that is not taken in, because a limit of the front was reached. It never runs; the client
     * is advised to retry after {@code retryAfterMicros}, as far as the settings allow that.
     */
    public void reject(int requestClass, Reply reply, long retryAfterMicros) {
        lifecycle.rejectUnread(requestClass, reply, retryAfterMicros);
    }

    /** The longest Retry-After advice that clients may be given, in microseconds; 0 where the settings allow none. */
    public long maxRetryAfterMicros() {
        return settings.maxRetryAfterMicros();
    }

    /** The client of an attempt disconnected or cancelled it: no answer is owed any more. */
    public void cancel(Long ticket) {
        lifecycle.cancel(ticket);
    }

    /** The client can send nothing more, but may still read: rejects its attempt if it never ran. */
    public void rejectUnlessStarted(Long ticket) {
        lifecycle.rejectUnlessStarted(ticket);
    }

    /** Answers all unanswered attempts now: those that never ran are rejected, the others fail. */
    public void answerAll() {
        lifecycle.answerAll();
    }

    /** How many attempts are unanswered. */
    public int unansweredCount() {
        return attempts.unanswered().size();
    }

    /** Unanswered attempts by how far they have come; {@code joined} ones wait for another one's result. */
    public record InFlightCounts(int queued, int running, int suspended, int awaitingDependency, int joined) {}

    /** Counts the unanswered attempts; a suspended run counts as joined where its attempt joined another one. */
    public InFlightCounts inFlight() {
        List<Attempt.Phase> phases =
                attempts.unanswered().stream().map(Attempt::phase).toList();
        return new InFlightCounts(
                count(phases, Attempt.Phase.QUEUED),
                count(phases, Attempt.Phase.RUNNING),
                count(phases, Attempt.Phase.SUSPENDED),
                count(phases, Attempt.Phase.AWAITING_DEPENDENCY),
                count(phases, Attempt.Phase.JOINED));
    }

    private static int count(List<Attempt.Phase> phases, Attempt.Phase phase) {
        return (int) phases.stream().filter(phase::equals).count();
    }

    // ---- state for operators and health checks ----

    /** The live counters. */
    public RequestCounters counters() {
        return counters;
    }

    /** A copy of the counters as they are now. */
    public RequestCounters countersSnapshot() {
        return counters.copy();
    }

    /** Whether health checks succeed. */
    public boolean healthy() {
        return events.started() && health.healthy();
    }

    /** The load feedback that goes with answers and health checks; NaN where none is set. */
    public double loadFeedback() {
        return answers.loadFeedback();
    }

    /** How long until this server is warm at the latest, in microseconds; 0 once it is. */
    public long warmUpRemainingMicros() {
        return Math.max(0, warmAtMicros - clock.nowMicros());
    }

    // ---- drain ----

    /**
     * Drains: the process is stopped {@code stopAfterMicros} after {@code noticeMicros}, the Unix time of the
     * shutdown notice. Health checks fail from now on, and what is still unanswered shortly before the stop fails.
     */
    public void drain(long noticeMicros, long stopAfterMicros) {
        drain.start(noticeMicros);
        health.update(false);
        long remainingMicros = Math.max(0, noticeMicros + stopAfterMicros - clock.nowMicros());
        events.add(controller -> controller.onDrain(remainingMicros));
        clock.schedule(Math.max(0, remainingMicros - FAIL_UNANSWERED_MARGIN_MICROS), answers::failAllUnanswered);
    }

    // ---- the kernel's reports ----

    @Override
    public void onBooted(boolean cold, long ageMicros) {
        if (events.started()) {
            return; // the link came back; the controller goes on
        }
        settings.setColdStart(cold);
        long kernelStartMicros = clock.nowMicros() - ageMicros;
        events.start(controllerFactory.apply(settings.forController()), actions, kernelStartMicros);
        warmAtMicros = cold ? kernelStartMicros + settings.warmUpMicros() : 0;
        clock.schedule(SWEEP_INTERVAL_MICROS, this::sweepKeys);
        if (!drain.draining()) {
            announcer.announce(true);
        }
        firstBootHandler.run();
    }

    private void sweepKeys() {
        idempotencyTable.sweep(clock.nowMicros());
        clock.schedule(SWEEP_INTERVAL_MICROS, this::sweepKeys);
    }

    @Override
    public void onDependencyCallRequested(String job, long noticeNumber, byte[] call) {
        kernelEvents.dependencyCallRequested(job, noticeNumber, call);
    }

    @Override
    public void onRunEnded(String job, Kernel.End end, long elapsedMicros, byte[] result) {
        kernelEvents.runEnded(job, end, elapsedMicros, result);
    }

    @Override
    public void onRunNotStarted(String job) {
        kernelEvents.runNotStarted(job);
    }

    @Override
    public void onGauges(double[] readings) {
        kernelEvents.gaugesReported(readings);
    }
}
