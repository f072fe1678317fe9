package wheatspread.supervisor;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.string.StringDecoder;
import io.netty.handler.codec.string.StringEncoder;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.json.JSONException;
import org.json.JSONObject;
import wheatspread.fleet.FleetInstance.Health;

/**
 * Sends health checks with the method {@code stats}, each on a separate connection, as the platform's proxies do. The
 * checks run on one event loop thread that this object owns and {@link #close} stops.
 */
final class HealthChecks implements AutoCloseable {
    private static final String REQUEST = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"stats\"}\n";
    /** The method of a notification that a draining server may send before its answer. */
    private static final String DRAINING_NOTIFICATION = "lastCall";

    private static final long MICROS_PER_MILLI = 1_000;
    private static final int CLOSE_TIMEOUT_MILLIS = 100;
    private static final int MAX_LINE_BYTES = 16 * 1024;

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("health-checks"), NioIoHandler.newFactory());
    private final long timeoutMillis;

    HealthChecks(long timeoutMillis) {
        this.timeoutMillis = timeoutMillis;
    }

    /**
     * Checks a server once. {@code result} is called once, on the event loop thread; its argument is null if the server
     * did not answer in time.
     */
    void check(InetSocketAddress address, Consumer<Health> result) {
        CheckHandler handler = new CheckHandler(result);
        new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeoutMillis)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new ReadTimeoutHandler(timeoutMillis, TimeUnit.MILLISECONDS),
                                        new LineBasedFrameDecoder(MAX_LINE_BYTES),
                                        new StringDecoder(StandardCharsets.UTF_8),
                                        new StringEncoder(StandardCharsets.UTF_8),
                                        handler);
                    }
                })
                .connect(address)
                .addListener(done -> {
                    if (!done.isSuccess()) {
                        handler.finish(null);
                    }
                });
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** The channel handler of one check. */
    private static final class CheckHandler extends SimpleChannelInboundHandler<String> {
        /** Null after the result was delivered. */
        private Consumer<Health> result;

        CheckHandler(Consumer<Health> result) {
            this.result = result;
        }

        void finish(Health health) {
            if (result != null) {
                result.accept(health);
                result = null;
            }
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            context.writeAndFlush(REQUEST);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, String line) {
            try {
                JSONObject stats = new JSONObject(line).optJSONObject("result");
                if (stats != null) {
                    finish(healthOf(stats));
                    context.close();
                } else if (!line.contains(DRAINING_NOTIFICATION)) {
                    context.close();
                }
            } catch (JSONException e) {
                context.close();
            }
        }

        private static Health healthOf(JSONObject stats) {
            return new Health(
                    stats.optBoolean("well"),
                    stats.optLong("served"),
                    stats.optLong("failed"),
                    stats.optLong("refused"),
                    stats.optLong("warm_in_ms") * MICROS_PER_MILLI);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            finish(null);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
