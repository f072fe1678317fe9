package wheatspread.core;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import wheatspread.admission.AdmissionController;
import wheatspread.admission.AdmissionSettings;
import wheatspread.logging.EventLog;

/**
 * Carries out the admission controller's decisions on the requests of all fronts. The core constructs its
 * collaborators and delegates to them: {@link RequestLifecycle} for attempts, {@link KernelEvents} for runs,
 * {@link ActionExecutor} for the controller's actions, {@link FinalAnswers} for answers. It is independent of any
 * wire protocol.
 *
 * <p>All calls must come from one thread. Events are collected and passed to the controller in batches, see
 * {@link EventBatcher}. Times are in microseconds.
 */
public final class Core implements Kernel.Listener {
    /** The core fails all unanswered attempts this long before the process is stopped. */
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
     * Creates a core that rejects all requests until the kernel has booted.
     *
     * @param initial the settings until the first reload
     * @param controllerFactory creates the admission controller; called once, when the kernel has booted
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

    /** Returns the settings in force. */
    public DeploymentSettings settings() {
        return settings.current();
    }

    /**
     * Merges the request classes of settings reloaded at SIGHUP into the settings in force (see
     * {@link DeploymentSettings}) and returns the result. The controller is notified before it receives any request
     * of a new class.
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

    /** Sets the kernel, which needs the core as its listener and is therefore constructed after the core. */
    public void attachKernel(Kernel link) {
        kernel.attach(link);
    }

    /**
     * Sets the function that closes the connections idle for at least the given number of microseconds. It is called
     * when the controller sets an idle timeout.
     */
    public void setIdleConnectionCloser(Consumer<Long> closer) {
        actions.setIdleConnectionCloser(closer::accept);
    }

    /** Sets the task to run once, when the kernel has booted for the first time. */
    public void setFirstBootHandler(Runnable task) {
        firstBootHandler = task;
    }

    // ---- attempts ----

    /**
     * Accepts an attempt. Its reply gets exactly one answer unless the client disconnects first. Returns the ticket
     * that identifies the attempt in later calls, or null if it was answered immediately.
     */
    public Long submit(InboundRequest request, Reply reply) {
        return lifecycle.submit(request, reply);
    }

    /**
     * Rejects an attempt that the front did not accept because one of its limits was reached. The attempt never runs.
     * The client is advised to retry after {@code retryAfterMicros}, or after the longest advice that the settings
     * allow if that is shorter.
     */
    public void reject(int requestClass, Reply reply, long retryAfterMicros) {
        lifecycle.rejectUnread(requestClass, reply, retryAfterMicros);
    }

    /** Returns the longest Retry-After advice for clients, in microseconds; 0 if the settings allow none. */
    public long maxRetryAfterMicros() {
        return settings.maxRetryAfterMicros();
    }

    /** Cancels an attempt whose client disconnected or cancelled it; the attempt gets no answer. */
    public void cancel(Long ticket) {
        lifecycle.cancel(ticket);
    }

    /** Rejects an attempt that never ran, after its client closed its sending side but can still read. */
    public void rejectUnlessStarted(Long ticket) {
        lifecycle.rejectUnlessStarted(ticket);
    }

    /** Answers all unanswered attempts immediately: those that never ran are rejected, the others fail. */
    public void answerAll() {
        lifecycle.answerAll();
    }

    /** Returns the number of unanswered attempts. */
    public int unansweredCount() {
        return attempts.unanswered().size();
    }

    /** The number of unanswered attempts in each phase; {@code joined} attempts wait for another attempt's result. */
    public record InFlightCounts(int queued, int running, int suspended, int awaitingDependency, int joined) {}

    /** Counts the unanswered attempts; a suspended attempt that joined another attempt counts as joined. */
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

    /** Returns the live counters. */
    public RequestCounters counters() {
        return counters;
    }

    /** Returns a copy of the counters, which later events do not change. */
    public RequestCounters countersSnapshot() {
        return counters.copy();
    }

    /** Returns whether health checks succeed. */
    public boolean healthy() {
        return events.started() && health.healthy();
    }

    /** Returns the load feedback value sent with answers and health checks; NaN if none is set. */
    public double loadFeedback() {
        return answers.loadFeedback();
    }

    /** Returns the upper bound of the remaining warm-up time, in microseconds; 0 once the server is warm. */
    public long warmUpRemainingMicros() {
        return Math.max(0, warmAtMicros - clock.nowMicros());
    }

    // ---- drain ----

    /**
     * Starts the drain. The process is stopped {@code stopAfterMicros} after {@code noticeMicros}, the Unix time of
     * the shutdown notice. Health checks fail once the drain has started, and attempts that are still unanswered
     * shortly before the stop fail.
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
            return; // the link has reconnected; the controller keeps its state
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
    public void onRunUncertain(String job) {
        kernelEvents.runUncertain(job);
    }

    @Override
    public void onGauges(double[] readings) {
        kernelEvents.gaugesReported(readings);
    }
}
