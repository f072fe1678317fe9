package wheatspread.lab.standins;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.json.JSONObject;

/**
 * Simulates the services that one server uses, on a separate event loop: a kernel whose runs all take the same
 * time however many there are, a records service that answers every call, and an announce service that accepts
 * every report.
 */
public final class StandInServices implements AutoCloseable {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final long runMicros;
    private final long callMicros;
    private final InetSocketAddress kernel;
    private final InetSocketAddress records;
    private final InetSocketAddress announce;
    private final AtomicLong runs = new AtomicLong();

    /** A run takes {@code runMicros} and a dependency call {@code callMicros}; below 0 no run makes calls. */
    public StandInServices(long runMicros, long callMicros) {
        this.runMicros = runMicros;
        this.callMicros = callMicros;
        kernel = StandInAddress.listen(group, Kernel::new, true);
        records = StandInAddress.listen(group, () -> new RecordsHandler(this.callMicros), false);
        announce = StandInAddress.listen(group, Announce::new, true);
    }

    public String kernel() {
        return StandInAddress.format(kernel);
    }

    public String records() {
        return StandInAddress.format(records);
    }

    public String announce() {
        return StandInAddress.format(announce);
    }

    /** Returns the number of runs started so far. */
    public long runs() {
        return runs.get();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    /** Simulates the kernel: a run waits for one dependency call if its class makes calls, and ends with OK. */
    private final class Kernel extends SimpleChannelInboundHandler<String> {
        private long lastNoticeNumber;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, String line) {
            JSONObject command = new JSONObject(line);
            String job = command.optString("job");
            switch (command.getString("type")) {
                case "OPEN" ->
                    send(
                            ctx,
                            new JSONObject()
                                    .put("type", "BOOTED")
                                    .put("state", "WARM")
                                    .put("took", 20_000));
                case "SYSINFO" ->
                    send(
                            ctx,
                            new JSONObject()
                                    .put("type", "INFO")
                                    .put("ref", command.get("ref"))
                                    .put("gauges", List.of(0.3, 1, 0.1, 10)));
                case "SCHED" -> {
                    runs.incrementAndGet();
                    boolean calls =
                            callMicros >= 0 && !command.getString("kind").equals("search");
                    scheduleAfter(ctx, runMicros, () -> {
                        if (calls) {
                            send(ctx, notice("IOREQ", job).put("data", "Y2FsbA=="));
                        } else {
                            endRun(ctx, job, "OK");
                        }
                    });
                }
                case "IODONE", "NOIO", "RESCHED" -> endRun(ctx, job, "OK");
                case "PREEMPT" -> endRun(ctx, job, "STOPPED");
                default -> throw new IllegalStateException("unexpected kernel command: " + line);
            }
        }

        private JSONObject notice(String type, String job) {
            return new JSONObject()
                    .put("type", type)
                    .put("n", ++lastNoticeNumber)
                    .put("job", job);
        }

        private void endRun(ChannelHandlerContext ctx, String job, String state) {
            send(
                    ctx,
                    notice("REAP", job)
                            .put("state", state)
                            .put("took", runMicros / 1e3)
                            .put("data", "b2s="));
        }

        private void send(ChannelHandlerContext ctx, JSONObject message) {
            ctx.writeAndFlush(message + "\n");
        }
    }

    /** Runs a task on the connection's event loop after {@code micros}. */
    static void scheduleAfter(ChannelHandlerContext ctx, long micros, Runnable task) {
        ctx.executor().schedule(task, micros, TimeUnit.MICROSECONDS);
    }

    /**
     * Simulates the announce service. It responds at the empty line that ends a report's head, since the body does
     * not end with a line break.
     */
    private static final class Announce extends SimpleChannelInboundHandler<String> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, String line) {
            if (line.isEmpty()) {
                ctx.writeAndFlush(Unpooled.copiedBuffer("HTTP/1.1 204 No Content\r\n\r\n", StandardCharsets.US_ASCII));
            }
        }
    }
}
