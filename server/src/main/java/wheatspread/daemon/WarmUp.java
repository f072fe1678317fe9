package wheatspread.daemon;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Base64;
import java.util.Comparator;
import java.util.Deque;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;
import org.json.JSONObject;
import wheatspread.admission.Idempotency;
import wheatspread.admission.Outcome;
import wheatspread.admission.RequestClass;
import wheatspread.admission.sfq.SfqAdmissionController;
import wheatspread.connections.ConnectionLimits;
import wheatspread.core.Clock;
import wheatspread.core.Core;
import wheatspread.core.DependencyReply;
import wheatspread.core.DeploymentSettings;
import wheatspread.core.Kernel;
import wheatspread.core.RecordsService;
import wheatspread.jsonrpc.RpcFront;
import wheatspread.logging.EventLog;
import wheatspread.scheduling.IterationBudget;
import wheatspread.transport.EventLoopScheduler;
import wheatspread.transport.Transport;

/**
 * Warms up the JVM before the process listens, by serving synthetic requests through a separate front, core and
 * admission controller, without a socket and on a simulated clock. Without a warm-up the first seconds of service would
 * be too slow for the load, since the JVM has not loaded and compiled the code yet, and valid requests would be
 * rejected.
 *
 * <p>This class simulates the clock, the kernel and the records service; every run succeeds after {@link #STEP_MICROS}.
 * The thread that starts the server makes all calls.
 */
final class WarmUp implements Clock, Kernel, RecordsService {
    private static final int MAX_REQUESTS = 400;
    /** Limits the warm-up on a slow processor, since the server serves no requests during it. */
    static final long MAX_DURATION_NANOS = 1_500_000_000L;

    /**
     * The simulated duration of a dependency call, and of a run before and after its dependency call; also the interval
     * between two requests.
     */
    private static final long STEP_MICROS = 5_000;

    private static final long MICROS_PER_MILLI = 1_000;
    private static final byte[] BODY = new byte[256];

    /** A timer; timers with the same deadline run in the order in which they were scheduled. */
    private record ScheduledTask(long deadlineMicros, long number, Runnable action) {}

    private final DeploymentSettings deployment;
    private final Core core;
    private final PriorityQueue<ScheduledTask> timers = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledTask::deadlineMicros).thenComparingLong(ScheduledTask::number));
    private final Deque<Runnable> readyTasks = new ArrayDeque<>();
    private long nowMicros = 1_000_000_000;
    private long lastTimerNumber;
    private long lastNoticeNumber;

    WarmUp(DeploymentSettings deployment) {
        this.deployment = deployment;
        core = new Core(
                deployment,
                settings -> new SfqAdmissionController(settings, 1),
                this,
                this,
                accepting -> {},
                EventLog.NONE);
        core.attachKernel(this);
        core.onBooted(false, 0);
    }

    /**
     * Serves {@link #MAX_REQUESTS} synthetic requests, or fewer if {@code maxNanos} have passed or {@code cancelled}
     * returns true. Returns the number of requests that were answered with a result.
     */
    int serveRequests(long maxNanos, BooleanSupplier cancelled) {
        long deadlineNanos = System.nanoTime() + maxNanos;
        EventLoopScheduler scheduler =
                new EventLoopScheduler(Transport.named("nio"), IterationBudget.DEFAULT, 1, EventLog.NONE);
        var listener = new wheatspread.transport.Listener(
                null, scheduler, this, new RpcFront(core, this), ConnectionLimits.defaults(1), EventLog.NONE);
        EmbeddedChannel channel = new EmbeddedChannel(listener.newEmbeddedHandler(0));
        int served = 0;
        for (int number = 1; number <= MAX_REQUESTS; number++) {
            if (System.nanoTime() >= deadlineNanos || cancelled.getAsBoolean()) {
                break;
            }
            channel.writeInbound(Unpooled.copiedBuffer(request(number) + "\n", StandardCharsets.UTF_8));
            advanceTo(nowMicros + STEP_MICROS);
            served += countResults(channel);
        }
        channel.finishAndReleaseAll();
        return served;
    }

    private static int countResults(EmbeddedChannel channel) {
        int results = 0;
        for (Object message = channel.readOutbound(); message != null; message = channel.readOutbound()) {
            if (message instanceof ByteBuf line
                    && line.toString(StandardCharsets.UTF_8).contains("\"result\"")) {
                results++;
            }
            ReferenceCountUtil.release(message);
        }
        return results;
    }

    private String request(int number) {
        int classNumber = number % deployment.classes().size();
        RequestClass requestClass = deployment.settings().classes().get(classNumber);
        JSONObject params = new JSONObject()
                .put("txn", String.format("%016x", number))
                .put("door", nowMicros / MICROS_PER_MILLI)
                .put("lb", 1)
                .put("limit", requestClass.deadlineMicros() / MICROS_PER_MILLI)
                .put("cpu", 20.5)
                .put("ram", 20.5)
                .put("standing", 0.5)
                .put("blob", encodedBody());
        if (!deployment.tenants().isEmpty()) {
            params.put(
                    "team",
                    deployment.tenants().get(number % deployment.tenants().size()));
        }
        params.put(requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY ? "unique" : "item", "warm-up-" + number);
        return new JSONObject()
                .put("jsonrpc", "2.0")
                .put("id", number)
                .put("method", deployment.classes().get(classNumber))
                .put("params", params)
                .toString();
    }

    private static String encodedBody() {
        return Base64.getEncoder().encodeToString(BODY);
    }

    private void advanceTo(long untilMicros) {
        while (!readyTasks.isEmpty() || !timers.isEmpty() && timers.peek().deadlineMicros() <= untilMicros) {
            if (readyTasks.isEmpty()) {
                nowMicros = Math.max(nowMicros, timers.peek().deadlineMicros());
                timers.poll().action().run();
            } else {
                readyTasks.poll().run();
            }
        }
        nowMicros = untilMicros;
    }

    // ---- the simulated clock ----

    @Override
    public long nowMicros() {
        return nowMicros;
    }

    @Override
    public Timer schedule(long delayMicros, Runnable task) {
        ScheduledTask timer = new ScheduledTask(nowMicros + delayMicros, ++lastTimerNumber, task);
        timers.add(timer);
        return () -> timers.remove(timer);
    }

    @Override
    public void runAfterTurn(Runnable task) {
        readyTasks.add(task);
    }

    // ---- the simulated kernel: each run succeeds, after a dependency call if its class makes calls ----

    @Override
    public void run(String job, String requestClass, Idempotency idempotency, byte[] body) {
        boolean callsDependency = deployment
                .settings()
                .classes()
                .get(deployment.classes().indexOf(requestClass))
                .callsDependency();
        schedule(STEP_MICROS, () -> {
            if (callsDependency) {
                core.onDependencyCallRequested(job, ++lastNoticeNumber, body);
            } else {
                core.onRunEnded(job, End.OK, STEP_MICROS, body);
            }
        });
    }

    @Override
    public void suspend(String job) {
        core.onRunEnded(job, End.STOPPED, STEP_MICROS, null);
    }

    @Override
    public void resume(String job) {
        core.onRunEnded(job, End.OK, STEP_MICROS, BODY);
    }

    @Override
    public void completeDependencyCall(String job, DependencyReply reply) {
        schedule(STEP_MICROS, () -> core.onRunEnded(job, End.OK, STEP_MICROS, reply.body()));
    }

    @Override
    public void skipDependencyCall(String job, long noticeNumber) {
        schedule(STEP_MICROS, () -> core.onRunEnded(job, End.OK, STEP_MICROS, BODY));
    }

    @Override
    public void requestGauges() {
        core.onGauges(new double[] {0.5, 2, 0.1, 3});
    }

    // ---- the simulated records service ----

    @Override
    public Call call(String job, byte[] body, long timeoutMicros, RecordsService.Listener listener) {
        Timer reply = schedule(STEP_MICROS, () -> listener.onCallEnded(Outcome.OK, body));
        return reply::cancel;
    }
}
