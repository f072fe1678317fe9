package wheatspread.announce;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import wheatspread.core.Announcer;

/**
 * Reports to the announce service, again and again: an entry lapses 3 s after its last report. Where the
 * service is down or does not answer, the next report tries a new connection.
 */
public final class AnnounceClient implements Announcer {
    /** Four reports may be lost before an entry lapses. */
    private static final long PERIOD_MS = 600;
    private static final int CONNECT_MS = 1_000;
    private static final long PATIENCE_MS = 1_200;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final String name;
    private final Consumer<String> log;
    private Channel channel;
    private Boolean accepting;
    private Boolean told;
    private boolean waiting;
    private long askedAt;
    private boolean started;
    private boolean closed;

    public AnnounceClient(EventLoop loop, InetSocketAddress address, String name, Consumer<String> log) {
        this.loop = loop;
        this.address = address;
        this.name = name;
        this.log = log;
    }

    @Override
    public void announce(boolean value) {
        boolean news = accepting == null || accepting != value;
        accepting = value;
        if (!started) {
            started = true;
            loop.scheduleAtFixedRate(this::report, 0, PERIOD_MS, TimeUnit.MILLISECONDS);
        } else if (news) {
            report();
        }
    }

    public void close() {
        closed = true;
        if (channel != null) {
            channel.close();
        }
    }

    private void report() {
        long now = System.nanoTime() / 1_000_000;
        if (closed || waiting && now - askedAt < PATIENCE_MS) {
            return;
        }
        if (waiting && channel != null) {
            channel.close(); // no answer: the report may not have counted
        }
        waiting = true;
        askedAt = now;
        if (channel != null && channel.isActive()) {
            send();
        } else {
            connect();
        }
    }

    private void connect() {
        new Bootstrap().group(loop).channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
            .handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel ch) {
                    ch.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(64 * 1024),
                        new Connection());
                }
            }).connect(address).addListener(done -> {
                if (!done.isSuccess()) {
                    waiting = false;
                }
            });
    }

    private void send() {
        told = accepting;
        byte[] body = ("{\"accepting\":\"" + accepting + "\"}").getBytes(StandardCharsets.US_ASCII);
        DefaultFullHttpRequest put = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.PUT,
            "/announce/" + name, Unpooled.wrappedBuffer(body));
        put.headers().set(HttpHeaderNames.HOST, address.getHostString() + ':' + address.getPort());
        put.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        channel.writeAndFlush(put, channel.voidPromise());
    }

    /** One connection to the announce service. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            send();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            waiting = false;
            if (response.status().code() != 204) {
                log.accept("announce service answered " + response.status());
            }
            if (!accepting.equals(told)) {
                report(); // it changed while the last report was under way
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == channel) {
                channel = null;
                waiting = false;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            log.accept("announce connection: " + cause);
            ctx.close();
        }
    }
}
