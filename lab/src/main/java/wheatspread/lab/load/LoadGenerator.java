package wheatspread.lab.load;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.string.StringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.json.JSONObject;
import wheatspread.lab.Sites;

/**
 * Open-loop load generator: proxies send requests at a fixed mean rate, independently of the responses. Request
 * times are drawn as a Poisson process, and a response time counts from the time at which the request was due, so
 * that a stalled server does not reduce the load.
 */
public final class LoadGenerator implements AutoCloseable {
    private static final long TICK_MICROS = 500;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final List<Channel> proxies = new ArrayList<>();
    private final Map<Long, Sent> sent = new HashMap<>();
    private final Random random = new Random(5);
    private final double requestsPerSecond;
    private Interval interval = new Interval();
    private boolean running;
    private long nextRequestNanos;
    private long lastId;

    private record Sent(long dueNanos, Sites.Kind kind, Interval interval) {}

    /** Outcomes of the requests that were due in one interval; written on the generator's event loop. */
    public static final class Interval {
        private final Histogram responseMicros = new Histogram(1, 60_000_000, 3);
        private long requests;
        private long served;
        private long servedInTime;
        private long refused;
        private long failed;

        /** Returns counts and response times under their report keys; times are of served requests, in milliseconds. */
        public JSONObject figures() {
            return new JSONObject()
                    .put("asked", requests)
                    .put("served", served)
                    .put("refused", refused)
                    .put("failed", failed)
                    .put("unanswered", requests - served - refused - failed)
                    .put("in_wanted_time", requests == 0 ? 0 : (double) servedInTime / requests)
                    .put("p50_ms", responseMicros.getValueAtPercentile(50) / 1e3)
                    .put("p99_ms", responseMicros.getValueAtPercentile(99) / 1e3)
                    .put("p999_ms", responseMicros.getValueAtPercentile(99.9) / 1e3)
                    .put("longest_ms", responseMicros.getMaxValue() / 1e3);
        }

        /** Returns a percentile of the response times of served requests, in milliseconds. */
        public double percentile(double percent) {
            return responseMicros.getValueAtPercentile(percent) / 1e3;
        }
    }

    /** Opens connections to a loopback port; sends nothing before {@link #beginInterval}. */
    public LoadGenerator(int port, int connections, double requestsPerSecond) {
        this.requestsPerSecond = requestsPerSecond;
        for (int i = 0; i < connections; i++) {
            proxies.add(new Bootstrap()
                    .group(group)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline()
                                    .addLast(
                                            new LineBasedFrameDecoder(1 << 16),
                                            new StringDecoder(StandardCharsets.UTF_8),
                                            new Answers());
                        }
                    })
                    .connect("127.0.0.1", port)
                    .syncUninterruptibly()
                    .channel());
        }
        loop.scheduleAtFixedRate(this::tick, 0, TICK_MICROS, TimeUnit.MICROSECONDS);
    }

    /** Sends requests for {@code millis} and returns their outcomes {@code settleMillis} after the last request. */
    public Interval run(long millis, long settleMillis) throws InterruptedException {
        Interval measured = beginInterval();
        TimeUnit.MILLISECONDS.sleep(millis);
        pause();
        TimeUnit.MILLISECONDS.sleep(settleMillis);
        return measured;
    }

    /** Begins a new interval, to which requests sent from now on are counted, and starts sending if paused. */
    public Interval beginInterval() {
        return loop.submit(() -> {
                    interval = new Interval();
                    if (!running) {
                        nextRequestNanos = System.nanoTime();
                    }
                    running = true;
                    return interval;
                })
                .syncUninterruptibly()
                .getNow();
    }

    /** Stops sending requests until the next {@link #beginInterval}. */
    public void pause() {
        loop.submit(() -> running = false).syncUninterruptibly();
    }

    private void tick() {
        while (running && nextRequestNanos <= System.nanoTime()) {
            Channel proxy = proxies.get(random.nextInt(proxies.size()));
            Sites.Kind kind = Sites.kind(random);
            long id = ++lastId;
            sent.put(id, new Sent(nextRequestNanos, kind, interval));
            interval.requests++;
            String line = Sites.request(
                    id,
                    kind,
                    Sites.tenant(random),
                    String.format("%016x", 0xABCL << 40 | id),
                    System.currentTimeMillis());
            proxy.writeAndFlush(ByteBufUtil.writeUtf8(proxy.alloc(), line));
            nextRequestNanos += (long) (-Math.log(1 - random.nextDouble()) / requestsPerSecond * 1e9);
        }
    }

    private final class Answers extends SimpleChannelInboundHandler<String> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, String line) {
            int idStart = line.indexOf("\"id\":");
            Sent request = idStart < 0
                    ? null
                    : sent.remove(Long.parseLong(line.substring(idStart + 5).split("\\D")[0]));
            if (request == null) {
                return;
            }
            if (line.contains("\"result\"")) {
                long micros = (System.nanoTime() - request.dueNanos) / 1_000;
                request.interval.served++;
                request.interval.responseMicros.recordValue(Math.max(1, micros));
                request.interval.servedInTime += micros <= request.kind.latencyObjectiveMillis() * 1_000L ? 1 : 0;
            } else if (line.contains("-32066")) {
                request.interval.refused++;
            } else {
                request.interval.failed++;
            }
        }
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }
}
