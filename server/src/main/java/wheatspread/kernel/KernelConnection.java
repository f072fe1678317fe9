package wheatspread.kernel;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.string.StringDecoder;
import io.netty.handler.codec.string.StringEncoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import wheatspread.logging.EventLog;

/**
 * A TCP connection to the kernel, which carries lines of text in both directions. The connection does not
 * interpret the lines; its {@link Owner} interprets them, and decides when to close or replace the connection.
 * Confined to the event loop.
 */
final class KernelConnection extends SimpleChannelInboundHandler<String> {
    private static final int MAX_LINE_BYTES = 256 * 1024;
    private static final int CONNECT_TIMEOUT_MS = 1_000;

    /** The callbacks to the object that opened the connection. */
    interface Owner {
        /** The connection could not be established; no further callback follows. */
        void connectFailed(KernelConnection connection);

        /** The connection is established and can send. */
        void connected(KernelConnection connection);

        /** The established connection was closed, by this server or by the kernel. */
        void disconnected(KernelConnection connection);

        void lineReceived(KernelConnection connection, String line);
    }

    private final InetSocketAddress address;
    private final Owner owner;
    private final EventLog log;
    private Channel channel;

    KernelConnection(InetSocketAddress address, Owner owner, EventLog log) {
        this.address = address;
        this.owner = owner;
        this.log = log;
    }

    /** Starts to connect, and notifies the owner of the result. */
    void connect(Bootstrap bootstrap) {
        bootstrap
                .clone()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline()
                                .addLast(
                                        new LineBasedFrameDecoder(MAX_LINE_BYTES),
                                        new StringDecoder(StandardCharsets.UTF_8),
                                        new StringEncoder(StandardCharsets.UTF_8),
                                        KernelConnection.this);
                    }
                })
                .connect(address)
                .addListener(result -> {
                    if (!result.isSuccess()) {
                        owner.connectFailed(this);
                    }
                });
    }

    InetSocketAddress address() {
        return address;
    }

    /** Sends a line. Must not be called before the connection is established. */
    void send(String line) {
        channel.writeAndFlush(line + "\n", channel.voidPromise());
    }

    /** Closes the connection. Must not be called before the connection is established. */
    void close() {
        channel.close();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        owner.connected(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        owner.disconnected(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, String line) {
        owner.lineReceived(this, line);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        log.warn("kernel_link_failed", "error", cause);
        ctx.close();
    }
}
