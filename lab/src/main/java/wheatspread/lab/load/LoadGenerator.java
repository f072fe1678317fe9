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
 * Proxies that ask at a steady rate whatever becomes of the answers: the times of the requests are drawn
 * ahead (a Poisson process), and an answer's time counts from when its request should have been sent, so that
 * a stalled server is not asked less.
 */
public final class LoadGenerator implements AutoCloseable {
    private static final long TICK_MICROS = 500;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final List<Channel> proxies = new ArrayList<>();
    private final Map<Long, Sent> sent = new HashMap<>();
    private final Random random = new Random(5);
    private final double rate;
    private Interval stretch = new Interval();
    private boolean running;
    private long next;
    private long lastId;

    private record Sent(long at, Sites.Kind kind, Interval stretch) {}

    /** What became of the requests of one stretch of time. */
    public static final class Interval {
        private final Histogram times = new Histogram(1, 60_000_000, 3);
        private long asked;
        private long served;
        private long wanted;
        private long refused;
        private long failed;

        /** Its figures; times are milliseconds, of served requests. */
        public JSONObject figures() {
            return new JSONObject()
                    .put("asked", asked)
                    .put("served", served)
                    .put("refused", refused)
                    .put("failed", failed)
                    .put("unanswered", asked - served - refused - failed)
                    .put("in_wanted_time", asked == 0 ? 0 : (double) wanted / asked)
                    .put("p50_ms", times.getValueAtPercentile(50) / 1e3)
                    .put("p99_ms", times.getValueAtPercentile(99) / 1e3)
                    .put("p999_ms", times.getValueAtPercentile(99.9) / 1e3)
                    .put("longest_ms", times.getMaxValue() / 1e3);
        }

        /** Where a percentile of the times lies, in milliseconds. */
        public double percentile(double percent) {
            return times.getValueAtPercentile(percent) / 1e3;
        }
    }

    /** Opens some connections to a port and asks nothing yet. */
    public LoadGenerator(int port, int connections, double perSecond) {
        rate = perSecond;
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

    /** Asks for so many milliseconds, and returns what became of it once the last answer has had its time. */
    public Interval run(long millis, long afterwards) throws InterruptedException {
        Interval one = beginInterval();
        TimeUnit.MILLISECONDS.sleep(millis);
        pause();
        TimeUnit.MILLISECONDS.sleep(afterwards);
        return one;
    }

    /** From now on requests belong to a new stretch. */
    public Interval beginInterval() {
        return loop.submit(() -> {
                    stretch = new Interval();
                    if (!running) {
                        next = System.nanoTime();
                    }
                    running = true;
                    return stretch;
                })
                .syncUninterruptibly()
                .getNow();
    }

    public void pause() {
        loop.submit(() -> running = false).syncUninterruptibly();
    }

    private void tick() {
        while (running && next <= System.nanoTime()) {
            Channel proxy = proxies.get(random.nextInt(proxies.size()));
            Sites.Kind kind = Sites.kind(random);
            long id = ++lastId;
            sent.put(id, new Sent(next, kind, stretch));
            stretch.asked++;
            String line = Sites.request(
                    id,
                    kind,
                    Sites.tenant(random),
                    String.format("%016x", 0xABCL << 40 | id),
                    System.currentTimeMillis());
            proxy.writeAndFlush(ByteBufUtil.writeUtf8(proxy.alloc(), line));
            next += (long) (-Math.log(1 - random.nextDouble()) / rate * 1e9);
        }
    }

    private final class Answers extends SimpleChannelInboundHandler<String> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, String line) {
            int at = line.indexOf("\"id\":");
            Sent one = at < 0
                    ? null
                    : sent.remove(Long.parseLong(line.substring(at + 5).split("\\D")[0]));
            if (one == null) {
                return;
            }
            if (line.contains("\"result\"")) {
                long micros = (System.nanoTime() - one.at) / 1_000;
                one.stretch.served++;
                one.stretch.times.recordValue(Math.max(1, micros));
                one.stretch.wanted += micros <= one.kind.wanted() * 1_000L ? 1 : 0;
            } else if (line.contains("-32066")) {
                one.stretch.refused++;
            } else {
                one.stretch.failed++;
            }
        }
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }
}
