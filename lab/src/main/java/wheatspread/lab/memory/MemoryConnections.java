package wheatspread.lab.memory;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.json.JSONObject;
import wheatspread.admission.Idempotency;
import wheatspread.admission.Outcome;
import wheatspread.admission.sfq.SfqAdmissionController;
import wheatspread.config.JsonFields;
import wheatspread.config.ServerConfig;
import wheatspread.connections.Connection.State;
import wheatspread.connections.ConnectionLimits;
import wheatspread.core.Clock;
import wheatspread.core.Core;
import wheatspread.core.DependencyReply;
import wheatspread.core.Kernel;
import wheatspread.daemon.EventLoopClock;
import wheatspread.jsonrpc.RpcFront;
import wheatspread.lab.Sites;
import wheatspread.lab.standins.StandInServices;
import wheatspread.logging.EventLog;
import wheatspread.scheduling.IterationBudget;
import wheatspread.transport.EventLoopScheduler;
import wheatspread.transport.Listener;

/** Measures many in-memory connections on one event loop: their heap, the longest turn, and the number of answers. */
public final class MemoryConnections implements AutoCloseable {
    private static final long RUN_MICROS = 15_000;

    private final EventLoopScheduler scheduler;
    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private final Clock clock;
    private final List<MemoryChannel> channels = new ArrayList<>();
    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final Listener listener;
    private final int count;

    /** Connections that are idle for {@code idleTimeoutMicros} are closed. */
    public MemoryConnections(int count, IterationBudget limits, long idleTimeoutMicros) {
        this.count = count;
        scheduler = new EventLoopScheduler(new MemoryTransport(), limits, 1, EventLog.NONE);
        group = new MultiThreadIoEventLoopGroup(1, scheduler);
        loop = group.next();
        clock = new EventLoopClock(scheduler);
        scheduler.setConnectionClock(clock::nowMicros);
        Core core;
        try (StandInServices standIns = new StandInServices(RUN_MICROS, RUN_MICROS)) {
            ServerConfig config = ServerConfig.read(
                    JsonFields.of(Sites.config(standIns, 1_000).toMap(), ""));
            core = new Core(
                    config.site(),
                    settings -> new SfqAdmissionController(settings, 1),
                    clock,
                    (job, body, timeoutMicros, listener) ->
                            clock.schedule(RUN_MICROS, () -> listener.onCallEnded(Outcome.OK, body))::cancel,
                    accepting -> {},
                    EventLog.NONE);
        }
        core.attachKernel(new FixedTimeKernel(core));
        ConnectionLimits defaults = ConnectionLimits.defaults(count);
        ConnectionLimits connectionLimits = new ConnectionLimits(
                count,
                0,
                0,
                1_000,
                60_000_000,
                60_000_000,
                idleTimeoutMicros,
                2_000_000,
                defaults.evictionGraceMicros(),
                defaults.maxPartialBytes(),
                defaults.maxPendingWriteBytes(),
                defaults.rejection());
        listener = new Listener(loop, scheduler, clock, new RpcFront(core, clock), connectionLimits, EventLog.NONE);
        loop.submit(() -> core.onBooted(false, 20_000_000)).syncUninterruptibly();
    }

    /** A kernel whose runs all take the same time and make no dependency calls. */
    private final class FixedTimeKernel implements Kernel {
        private final Kernel.Listener listener;

        FixedTimeKernel(Kernel.Listener listener) {
            this.listener = listener;
        }

        @Override
        public void run(String job, String requestClass, Idempotency idempotency, byte[] body) {
            clock.schedule(RUN_MICROS, () -> listener.onRunEnded(job, End.OK, RUN_MICROS, body));
        }

        @Override
        public void suspend(String job) {
            listener.onRunEnded(job, End.STOPPED, RUN_MICROS, null);
        }

        @Override
        public void resume(String job) {
            run(job, "", Idempotency.IDEMPOTENT, new byte[0]);
        }

        @Override
        public void completeDependencyCall(String job, DependencyReply reply) {
            throw new IllegalStateException("unexpected dependency call: runs of this kernel make none");
        }

        @Override
        public void skipDependencyCall(String job, long notice) {
            throw new IllegalStateException("unexpected dependency call: runs of this kernel make none");
        }

        @Override
        public void requestGauges() {
            listener.onGauges(new double[] {0.3, 1, 0.1, 10});
        }
    }

    /**
     * Opens the connections, sends a check on each, then a request on all at the same time, and waits until all
     * connections are closed by the idle timeout.
     */
    public JSONObject measure() throws Exception {
        JSONObject figures = new JSONObject().put("count", count);
        long emptyHeapBytes = liveBytes();
        for (int i = 0; i < count; i += 500) {
            int firstIndex = i;
            callOnLoop(() -> {
                for (int k = firstIndex; k < Math.min(count, firstIndex + 500); k++) {
                    MemoryChannel channel = new MemoryChannel(this::receive);
                    channels.add(channel);
                    listener.accept(channel);
                }
                return null;
            });
        }
        byte[] check = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}\n".getBytes(StandardCharsets.UTF_8);
        answers.set(0);
        for (int i = 0; i < count; i++) {
            channels.get(i).deliver(check);
        }
        await(() -> answers.get() >= count, 30);
        figures.put("spoke", answers.get()).put("heap_per_connection", (liveBytes() - emptyHeapBytes) / (double) count);
        // afterwards the connections no longer count as recently used
        TimeUnit.MICROSECONDS.sleep(scheduler.budget().recentUseMicros() * 6 / 5);
        List<byte[]> requests = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            requests.add(Sites.request(
                            2,
                            Sites.KINDS.get(1),
                            "barangay-kitchens",
                            String.format("%016x", i),
                            System.currentTimeMillis())
                    .getBytes(StandardCharsets.UTF_8));
        }
        answers.set(0);
        served.set(0);
        callOnLoop(() -> scheduler.times().takeLongestMicros());
        long beganNanos = System.nanoTime();
        for (int i = 0; i < count; i++) {
            channels.get(i).deliver(requests.get(i));
        }
        await(() -> answers.get() >= count, 30);
        figures.put("burst_answered", answers.get())
                .put("burst_served", served.get())
                .put("burst_took_ms", (System.nanoTime() - beganNanos) / 1_000_000)
                .put("burst_longest_turn_us", callOnLoop(() -> scheduler.times().takeLongestMicros()));
        await(() -> listener.table().size() < count, 30);
        beganNanos = System.nanoTime();
        await(() -> listener.table().size() == 0, 30);
        return figures.put("expiry_took_ms", (System.nanoTime() - beganNanos) / 1_000_000)
                .put("expiry_left", (Object) callOnLoop(() -> listener.table().count(State.IDLE)))
                .put(
                        "expiry_longest_turn_us",
                        callOnLoop(() -> scheduler.times().takeLongestMicros()))
                .put("timers", (Object) callOnLoop(() -> scheduler.timerWheel().size()));
    }

    private void receive(MemoryChannel from, ByteBuf bytes) {
        answers.incrementAndGet();
        if (bytes.indexOf(bytes.readerIndex(), bytes.writerIndex(), (byte) '\n') > 0
                && bytes.toString(StandardCharsets.UTF_8).contains("\"result\"")) {
            served.incrementAndGet();
        }
    }

    private <T> T callOnLoop(Callable<T> task) {
        return loop.submit(task).syncUninterruptibly().getNow();
    }

    private void await(Callable<Boolean> condition, int timeoutSeconds) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(timeoutSeconds);
        while (!callOnLoop(condition) && System.nanoTime() < deadlineNanos) {
            TimeUnit.MILLISECONDS.sleep(2);
        }
    }

    private static long liveBytes() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }
}
