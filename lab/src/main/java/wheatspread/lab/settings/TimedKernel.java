package wheatspread.lab.settings;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.json.JSONObject;
import wheatspread.lab.standins.StandInEndpoint;

/**
 * A stand-in kernel whose runs all take the same time. It records the actual duration of each run, so that clients can
 * subtract it from their answer times. A request's body is its number as decimal digits. Runs make no dependency calls.
 */
final class TimedKernel implements AutoCloseable {
    private static final int CORES = 6;
    private static final double HEAP_SHARE = 0.1;
    private static final int CONNECTIONS = 10;
    private static final long MAX_MICROS = TimeUnit.MINUTES.toMicros(1);

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final long runMicros;
    private final StandInEndpoint endpoint;
    private final Map<Long, Run> endedRuns = new ConcurrentHashMap<>();
    private final Map<String, Running> running = new HashMap<>();
    private Histogram dispatchMicros = newHistogram();
    private volatile int runningCount;
    private long lastEndNanos;

    /** The start and end of a run, by {@link System#nanoTime}. */
    record Run(long beganNanos, long endedNanos) {
        long nanos() {
            return endedNanos - beganNanos;
        }
    }

    private record Running(long request, long beganNanos) {}

    TimedKernel(long runMicros) {
        this.runMicros = runMicros;
        endpoint = new StandInEndpoint(group, Link::new, true);
    }

    /** Returns the listening address as {@code host:port}. */
    String address() {
        return endpoint.text();
    }

    /** Removes and returns the record of a request's run; null if the request did not run. */
    Run removeRun(long request) {
        return endedRuns.remove(request);
    }

    int runningRequests() {
        return runningCount;
    }

    /** Discards the measured dispatch times. */
    void resetDispatchTimes() {
        group.next().submit(() -> dispatchMicros = newHistogram()).syncUninterruptibly();
    }

    /** Returns the microseconds from the last end of a run to the start of the next run. */
    Histogram dispatchMicros() {
        return group.next()
                .submit(() -> dispatchMicros.copy())
                .syncUninterruptibly()
                .getNow();
    }

    private static Histogram newHistogram() {
        return new Histogram(1, MAX_MICROS, 3);
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    /** The connection from the server, used on the event loop only. */
    private final class Link extends SimpleChannelInboundHandler<String> {
        private long notices;

        @Override
        protected void channelRead0(ChannelHandlerContext context, String line) {
            long receivedNanos = System.nanoTime();
            JSONObject command = new JSONObject(line);
            String job = command.optString("job");
            switch (command.getString("type")) {
                case "OPEN" ->
                    send(
                            context,
                            new JSONObject()
                                    .put("type", "BOOTED")
                                    .put("state", "WARM")
                                    .put("took", 20_000));
                case "SYSINFO" -> send(context, gauges().put("ref", command.get("ref")));
                case "SCHED" -> begin(context, job, command.getString("data"), receivedNanos);
                case "PREEMPT" -> send(context, notice("REAP", job).put("state", "STOPPED"));
                default -> throw new IllegalStateException(line);
            }
        }

        private void begin(ChannelHandlerContext context, String job, String data, long beganNanos) {
            long request = Long.parseLong(new String(Base64.getDecoder().decode(data), StandardCharsets.US_ASCII));
            if (lastEndNanos != 0) {
                dispatchMicros.recordValue(Math.max(1, (beganNanos - lastEndNanos) / 1_000));
            }
            running.put(job, new Running(request, beganNanos));
            runningCount = running.size();
            context.executor().schedule(() -> end(context, job), runMicros, TimeUnit.MICROSECONDS);
        }

        private void end(ChannelHandlerContext context, String job) {
            Running run = running.remove(job);
            runningCount = running.size();
            lastEndNanos = System.nanoTime();
            endedRuns.put(run.request, new Run(run.beganNanos, lastEndNanos));
            send(
                    context,
                    notice("REAP", job)
                            .put("state", "OK")
                            .put("took", runMicros / 1e3)
                            .put("data", "b2s="));
        }

        private JSONObject gauges() {
            int runningRuns = running.size();
            double use = Math.min(1.0, runningRuns / (double) CORES);
            return new JSONObject()
                    .put("type", "INFO")
                    .put("gauges", List.of(use, runningRuns, HEAP_SHARE, CONNECTIONS));
        }

        private JSONObject notice(String type, String job) {
            return new JSONObject().put("type", type).put("n", ++notices).put("job", job);
        }

        private void send(ChannelHandlerContext context, JSONObject message) {
            context.writeAndFlush(message + "\n");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close(); // a killed server resets its connection
        }
    }
}
