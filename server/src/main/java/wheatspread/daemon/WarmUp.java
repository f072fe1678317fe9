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
import wheatspread.core.DeploymentSettings;
import wheatspread.core.Kernel;
import wheatspread.core.RecordsService;
import wheatspread.jsonrpc.RpcFront;
import wheatspread.logging.EventLog;
import wheatspread.scheduling.IterationBudget;
import wheatspread.transport.EventLoopScheduler;
import wheatspread.transport.Transport;

/**
 * Takes some requests through a front, a core and a module of its own before the process listens, without a
 * socket. Guards against the first seconds of service: until the JVM has loaded and compiled what a request
 * needs, a part of a core is too slow for the load, tries wait unread, and good ones are refused.
 */
final class WarmUp implements Clock, Kernel, RecordsService {
    private static final int ROUNDS = 400;
    /** It ends early where the core is slow: a server that comes late serves nobody. */
    static final long LONGEST_NS = 1_500_000_000L;

    private static final long STEP = 5_000;
    private static final byte[] BODY = new byte[256];

    private record Task(long at, long number, Runnable what) {}

    private final DeploymentSettings site;
    private final Core core;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::at).thenComparingLong(Task::number));
    private final Deque<Runnable> soon = new ArrayDeque<>();
    private long now = 1_000_000_000;
    private long set;
    private long notices;

    WarmUp(DeploymentSettings site) {
        this.site = site;
        core = new Core(
                site, settings -> new SfqAdmissionController(settings, 1), this, this, accepting -> {}, EventLog.NONE);
        core.attach(this);
        core.booted(false, 0);
    }

    /**
     * Goes on for so many nanoseconds at most, or until there is no more use in it; returns how many requests
     * were served.
     */
    int play(long longest, BooleanSupplier over) {
        long until = System.nanoTime() + longest;
        EventLoopScheduler turns =
                new EventLoopScheduler(Transport.named("nio"), IterationBudget.USUAL, 1, EventLog.NONE);
        var listener = new wheatspread.transport.Listener(
                null, turns, this, new RpcFront(core, this), ConnectionLimits.usual(1), EventLog.NONE);
        EmbeddedChannel channel = new EmbeddedChannel(listener.callerOf(0));
        int served = 0;
        for (int round = 1; round <= ROUNDS && System.nanoTime() < until && !over.getAsBoolean(); round++) {
            channel.writeInbound(Unpooled.copiedBuffer(request(round) + "\n", StandardCharsets.UTF_8));
            pass(now + STEP);
            for (Object out = channel.readOutbound(); out != null; out = channel.readOutbound()) {
                served += out instanceof ByteBuf line
                                && line.toString(StandardCharsets.UTF_8).contains("\"result\"")
                        ? 1
                        : 0;
                ReferenceCountUtil.release(out);
            }
        }
        channel.finishAndReleaseAll();
        return served;
    }

    private String request(int round) {
        int kind = round % site.classes().size();
        RequestClass told = site.settings().classes().get(kind);
        JSONObject params = new JSONObject()
                .put("txn", String.format("%016x", round))
                .put("door", now / 1000)
                .put("lb", 1)
                .put("limit", told.deadlineMicros() / 1000)
                .put("cpu", 20.5)
                .put("ram", 20.5)
                .put("standing", 0.5)
                .put("blob", encoded());
        if (!site.tenants().isEmpty()) {
            params.put("team", site.tenants().get(round % site.tenants().size()));
        }
        params.put(told.idempotency() == Idempotency.IDEMPOTENCY_KEY ? "unique" : "item", "warm-up-" + round);
        return new JSONObject()
                .put("jsonrpc", "2.0")
                .put("id", round)
                .put("method", site.classes().get(kind))
                .put("params", params)
                .toString();
    }

    private static String encoded() {
        return Base64.getEncoder().encodeToString(BODY);
    }

    private void pass(long until) {
        while (!soon.isEmpty() || !tasks.isEmpty() && tasks.peek().at() <= until) {
            if (soon.isEmpty()) {
                now = Math.max(now, tasks.peek().at());
                tasks.poll().what().run();
            } else {
                soon.poll().run();
            }
        }
        now = until;
    }

    // ---- the clock ----

    @Override
    public long nowMicros() {
        return now;
    }

    @Override
    public Timer after(long micros, Runnable task) {
        Task one = new Task(now + micros, ++set, task);
        tasks.add(one);
        return () -> tasks.remove(one);
    }

    @Override
    public void soon(Runnable task) {
        soon.add(task);
    }

    // ---- the kernel: each run asks for a call, if its class makes calls, and ends well ----

    @Override
    public void run(String job, String kind, byte[] body) {
        boolean calls =
                site.settings().classes().get(site.classes().indexOf(kind)).callsDependency();
        after(STEP, () -> {
            if (calls) {
                core.blocked(job, ++notices, body);
            } else {
                core.ended(job, End.OK, STEP, body);
            }
        });
    }

    @Override
    public void pause(String job) {
        core.ended(job, End.STOPPED, STEP, null);
    }

    @Override
    public void resume(String job) {
        core.ended(job, End.OK, STEP, BODY);
    }

    @Override
    public void callDone(String job, byte[] reply) {
        after(STEP, () -> core.ended(job, End.OK, STEP, reply));
    }

    @Override
    public void skipCall(String job, long notice) {
        callDone(job, BODY);
    }

    @Override
    public void askGauges() {
        core.gauges(new double[] {0.5, 2, 0.1, 3});
    }

    // ---- the records service ----

    @Override
    public Call call(String job, byte[] body, long patience, RecordsService.Listener listener) {
        Timer reply = after(STEP, () -> listener.ended(Outcome.OK, body));
        return reply::cancel;
    }
}
