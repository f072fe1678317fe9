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
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.json.JSONException;
import org.json.JSONObject;
import wheatspread.fleet.FleetInstance.Health;

/** Health checks, each on a connection of its own, as the platform's proxies make them. */
final class HealthChecks implements AutoCloseable {
    private static final int LONGEST_LINE = 16 * 1024;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final long timeoutMillis;

    HealthChecks(long timeoutMillis) {
        this.timeoutMillis = timeoutMillis;
    }

    /** Asks once; the answer is null where none came in time. It comes on the thread of the loop. */
    void ask(InetSocketAddress address, Consumer<Health> answer) {
        Asking asking = new Asking(answer);
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
                                        new LineBasedFrameDecoder(LONGEST_LINE),
                                        new StringDecoder(StandardCharsets.UTF_8),
                                        new StringEncoder(StandardCharsets.UTF_8),
                                        asking);
                    }
                })
                .connect(address)
                .addListener(done -> {
                    if (!done.isSuccess()) {
                        asking.end(null);
                    }
                });
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private static final class Asking extends SimpleChannelInboundHandler<String> {
        private Consumer<Health> answer;

        Asking(Consumer<Health> answer) {
            this.answer = answer;
        }

        void end(Health health) {
            if (answer != null) {
                answer.accept(health);
                answer = null;
            }
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            context.writeAndFlush("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"stats\"}\n");
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, String line) {
            try {
                JSONObject result = new JSONObject(line).optJSONObject("result");
                if (result != null) {
                    end(new Health(
                            result.optBoolean("well"),
                            result.optLong("served"),
                            result.optLong("failed"),
                            result.optLong("refused"),
                            result.optLong("warm_in_ms") * 1_000));
                    context.close();
                } else if (!line.contains("lastCall")) {
                    context.close();
                }
            } catch (JSONException e) {
                context.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            end(null);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
