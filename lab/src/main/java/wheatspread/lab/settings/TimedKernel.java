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
 * A kernel whose runs all take the same time, and which books how long each really took, so that a caller can take
 * that time off the time of its answer. A request's body is its number as decimal digits. Runs call nothing.
 */
final class TimedKernel implements AutoCloseable {
    private static final int CORES = 6;
    private static final double HEAP_SHARE = 0.1;
    private static final int CONNECTIONS = 10;
    private static final long LONGEST_MICROS = TimeUnit.MINUTES.toMicros(1);

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final long runMicros;
    private final StandInEndpoint door;
    private final Map<Long, Run> ended = new ConcurrentHashMap<>();
    private final Map<String, Running> running = new HashMap<>();
    private Histogram dispatches = newHistogram();
    private volatile int runningNow;
    private long lastEnd;

    /** When a run began and ended, by {@link System#nanoTime}. */
    record Run(long began, long ended) {
        long nanos() {
            return ended - began;
        }
    }

    private record Running(long request, long began) {}

    /** Every run takes {@code runMicros}. */
    TimedKernel(long runMicros) {
        this.runMicros = runMicros;
        door = new StandInEndpoint(group, Link::new, true);
    }

    /** Where it listens, as {@code host:port}. */
    String address() {
        return door.text();
    }

    /** Takes the run of a request out of the book; null where it did not run. */
    Run take(long request) {
        return ended.remove(request);
    }

    /** How many runs go on. */
    int running() {
        return runningNow;
    }

    /** Begins to measure anew how long a server takes from the end of a run to the start of another one. */
    void beginDispatches() {
        group.next().submit(() -> dispatches = newHistogram()).syncUninterruptibly();
    }

    /** Microseconds from the last end of a run before the start of each run to that start. */
    Histogram dispatches() {
        return group.next()
                .submit(() -> dispatches.copy())
                .syncUninterruptibly()
                .getNow();
    }

    private static Histogram newHistogram() {
        return new Histogram(1, LONGEST_MICROS, 3);
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    /** The link of the server. */
    private final class Link extends SimpleChannelInboundHandler<String> {
        private long notices;

        @Override
        protected void channelRead0(ChannelHandlerContext context, String line) {
            long now = System.nanoTime();
            JSONObject command = new JSONObject(line);
            String job = command.optString("job");
            switch (command.getString("type")) {
                case "OPEN" ->
                    say(
                            context,
                            new JSONObject()
                                    .put("type", "BOOTED")
                                    .put("state", "WARM")
                                    .put("took", 20_000));
                case "SYSINFO" -> say(context, gauges().put("ref", command.get("ref")));
                case "SCHED" -> begin(context, job, command.getString("data"), now);
                case "PREEMPT" -> say(context, notice("REAP", job).put("state", "STOPPED"));
                default -> throw new IllegalStateException(line);
            }
        }

        private void begin(ChannelHandlerContext context, String job, String data, long now) {
            long request = Long.parseLong(new String(Base64.getDecoder().decode(data), StandardCharsets.US_ASCII));
            if (lastEnd != 0) {
                dispatches.recordValue(Math.max(1, (now - lastEnd) / 1_000));
            }
            running.put(job, new Running(request, now));
            runningNow = running.size();
            context.executor().schedule(() -> end(context, job), runMicros, TimeUnit.MICROSECONDS);
        }

        private void end(ChannelHandlerContext context, String job) {
            Running run = running.remove(job);
            runningNow = running.size();
            lastEnd = System.nanoTime();
            ended.put(run.request, new Run(run.began, lastEnd));
            say(
                    context,
                    notice("REAP", job)
                            .put("state", "OK")
                            .put("took", runMicros / 1e3)
                            .put("data", "b2s="));
        }

        private JSONObject gauges() {
            int busy = running.size();
            double use = Math.min(1.0, busy / (double) CORES);
            return new JSONObject().put("type", "INFO").put("gauges", List.of(use, busy, HEAP_SHARE, CONNECTIONS));
        }

        private JSONObject notice(String type, String job) {
            return new JSONObject().put("type", type).put("n", ++notices).put("job", job);
        }

        private void say(ChannelHandlerContext context, JSONObject message) {
            context.writeAndFlush(message + "\n");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close(); // a server that was ended outright resets its link
        }
    }
}
