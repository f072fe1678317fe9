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
import wheatspread.admission.Outcome;
import wheatspread.admission.sfq.SfqAdmissionController;
import wheatspread.config.JsonFields;
import wheatspread.config.ServerConfig;
import wheatspread.connections.Connection.State;
import wheatspread.connections.ConnectionLimits;
import wheatspread.core.Clock;
import wheatspread.core.Core;
import wheatspread.core.Kernel;
import wheatspread.daemon.EventLoopClock;
import wheatspread.jsonrpc.RpcFront;
import wheatspread.lab.Sites;
import wheatspread.lab.standins.StandInServices;
import wheatspread.logging.EventLog;
import wheatspread.scheduling.IterationBudget;
import wheatspread.transport.EventLoopScheduler;
import wheatspread.transport.Listener;

/** A crowd on one loop in memory: its heap, its longest turn, and whether all are answered once. */
public final class MemoryCrowd implements AutoCloseable {
    private static final long RUN = 15_000;

    private final EventLoopScheduler turns;
    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private final Clock clock;
    private final List<MemoryChannel> channels = new ArrayList<>();
    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final Listener listener;
    private final int count;

    /** Who rests for {@code idle} microseconds is closed in the end. */
    public MemoryCrowd(int count, IterationBudget limits, long idle) {
        this.count = count;
        turns = new EventLoopScheduler(new MemoryTransport(), limits, 1, EventLog.NONE);
        group = new MultiThreadIoEventLoopGroup(1, turns);
        loop = group.next();
        clock = new EventLoopClock(turns);
        turns.setConnectionClock(clock::nowMicros);
        Core core;
        try (StandInServices parties = new StandInServices(RUN, RUN)) {
            ServerConfig config =
                    ServerConfig.read(JsonFields.of(Sites.config(parties, 1_000).toMap(), ""));
            core = new Core(
                    config.site(),
                    settings -> new SfqAdmissionController(settings, 1),
                    clock,
                    (job, body, patience, to) -> clock.schedule(RUN, () -> to.onCallEnded(Outcome.OK, body))::cancel,
                    accepting -> {},
                    EventLog.NONE);
        }
        core.attachKernel(new Runs(core));
        ConnectionLimits usual = ConnectionLimits.defaults(count);
        ConnectionLimits own = new ConnectionLimits(
                count,
                0,
                0,
                1_000,
                60_000_000,
                60_000_000,
                idle,
                2_000_000,
                usual.evictionGraceMicros(),
                usual.maxPartialBytes(),
                usual.maxPendingWriteBytes(),
                usual.rejection());
        listener = new Listener(loop, turns, clock, new RpcFront(core, clock), own, EventLog.NONE);
        loop.submit(() -> core.onBooted(false, 20_000_000)).syncUninterruptibly();
    }

    /** A kernel whose runs all take the same time and ask for no call. */
    private final class Runs implements Kernel {
        private final Kernel.Listener to;

        Runs(Kernel.Listener to) {
            this.to = to;
        }

        @Override
        public void run(String job, String kind, byte[] body) {
            clock.schedule(RUN, () -> to.onRunEnded(job, End.OK, RUN, body));
        }

        @Override
        public void suspend(String job) {
            to.onRunEnded(job, End.STOPPED, RUN, null);
        }

        @Override
        public void resume(String job) {
            run(job, "", new byte[0]);
        }

        @Override
        public void completeDependencyCall(String job, byte[] reply) {
            throw new IllegalStateException("no run asks for a call");
        }

        @Override
        public void skipDependencyCall(String job, long notice) {
            throw new IllegalStateException("no run asks for a call");
        }

        @Override
        public void requestGauges() {
            to.onGauges(new double[] {0.3, 1, 0.1, 10});
        }
    }

    /** Opens all, has each speak once, then all at once, then waits until all were idle for too long. */
    public JSONObject play() throws Exception {
        JSONObject figures = new JSONObject().put("count", count);
        long empty = liveBytes();
        for (int i = 0; i < count; i += 500) {
            int from = i;
            inLoop(() -> {
                for (int k = from; k < Math.min(count, from + 500); k++) {
                    MemoryChannel channel = new MemoryChannel(this::hear);
                    channels.add(channel);
                    listener.accept(channel);
                }
                return null;
            });
        }
        byte[] check = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}\n".getBytes(StandardCharsets.UTF_8);
        answers.set(0);
        for (int i = 0; i < count; i++) {
            channels.get(i).say(check);
        }
        await(() -> answers.get() >= count, 30);
        figures.put("spoke", answers.get()).put("heap_per_connection", (liveBytes() - empty) / (double) count);
        TimeUnit.MICROSECONDS.sleep(turns.budget().recentUseMicros() * 6 / 5); // by now they are asleep
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
        inLoop(() -> turns.times().takeLongestMicros());
        long began = System.nanoTime();
        for (int i = 0; i < count; i++) {
            channels.get(i).say(requests.get(i));
        }
        await(() -> answers.get() >= count, 30);
        figures.put("burst_answered", answers.get())
                .put("burst_served", served.get())
                .put("burst_took_ms", (System.nanoTime() - began) / 1_000_000)
                .put("burst_longest_turn_us", inLoop(() -> turns.times().takeLongestMicros()));
        await(() -> listener.table().size() < count, 30);
        began = System.nanoTime();
        await(() -> listener.table().size() == 0, 30);
        return figures.put("expiry_took_ms", (System.nanoTime() - began) / 1_000_000)
                .put("expiry_left", (Object) inLoop(() -> listener.table().count(State.IDLE)))
                .put("expiry_longest_turn_us", inLoop(() -> turns.times().takeLongestMicros()))
                .put("timers", (Object) inLoop(() -> turns.timerWheel().size()));
    }

    private void hear(MemoryChannel from, ByteBuf bytes) {
        answers.incrementAndGet();
        if (bytes.indexOf(bytes.readerIndex(), bytes.writerIndex(), (byte) '\n') > 0
                && bytes.toString(StandardCharsets.UTF_8).contains("\"result\"")) {
            served.incrementAndGet();
        }
    }

    private <T> T inLoop(Callable<T> what) {
        return loop.submit(what).syncUninterruptibly().getNow();
    }

    private void await(Callable<Boolean> done, int seconds) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (!inLoop(done) && System.nanoTime() < until) {
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
