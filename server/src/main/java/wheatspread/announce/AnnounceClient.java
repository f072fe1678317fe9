package wheatspread.announce;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import wheatspread.core.Announcer;
import wheatspread.logging.EventLog;

/**
 * Reports to the announce service, again and again: an entry lapses 3 s after its last report. A report that
 * gets no answer holds up nothing: the next one, or a change, goes over a new connection.
 */
public final class AnnounceClient implements Announcer {
    /** Four reports may be lost before an entry lapses. */
    private static final long PERIOD_MS = 600;

    private static final int CONNECT_MS = 500;
    /** A change is reported once more after this long: an older report may be read behind it. */
    private static final long AGAIN_MS = 150;

    private final EventLoopGroup loop;
    private final Bootstrap clients;
    private final String name;
    private final EventLog log;
    private InetSocketAddress address;
    /** Where the last report went, or is to go once it is connected. */
    private Connection connection;

    private Boolean accepting;
    private boolean started;
    private boolean closed;

    /** {@code address} is null where nobody keeps a list: then nothing is reported. */
    public AnnounceClient(Bootstrap clients, InetSocketAddress address, String name, EventLog log) {
        loop = clients.config().group();
        this.clients = clients;
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
            loop.schedule(this::report, AGAIN_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** The service is to be reached at another address from now on, and hears at once. */
    public void moveTo(InetSocketAddress next) {
        if (!Objects.equals(next, address)) {
            address = next;
            dropConnection();
            if (started) {
                report();
            }
        }
    }

    public void close() {
        closed = true;
        dropConnection();
    }

    private void dropConnection() {
        if (connection != null) {
            connection.close();
            connection = null;
        }
    }

    private void report() {
        if (closed || address == null) {
            return;
        }
        if (connection != null && !connection.waiting) {
            connection.send();
        } else {
            dropConnection(); // no answer yet: waiting for it would hold this report up, and the next ones
            connection = new Connection();
            connection.open();
        }
    }

    /** One connection to the announce service, with a report under way or none. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Channel channel;
        private boolean waiting = true;
        private boolean dropped;

        void open() {
            clients.clone()
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel ch) {
                            ch.pipeline()
                                    .addLast(
                                            new HttpClientCodec(),
                                            new HttpObjectAggregator(64 * 1024),
                                            Connection.this);
                        }
                    })
                    .connect(address)
                    .addListener(done -> {
                        if (!done.isSuccess()) {
                            ended();
                        }
                    });
        }

        void close() {
            dropped = true;
            if (channel != null) {
                channel.close();
            }
        }

        void send() {
            waiting = true;
            byte[] body = ("{\"accepting\":\"" + accepting + "\"}").getBytes(StandardCharsets.US_ASCII);
            DefaultFullHttpRequest put = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, HttpMethod.PUT, "/announce/" + name, Unpooled.wrappedBuffer(body));
            put.headers().set(HttpHeaderNames.HOST, address.getHostString() + ':' + address.getPort());
            put.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            channel.writeAndFlush(put, channel.voidPromise());
        }

        private void ended() {
            if (connection == this) {
                connection = null;
            }
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            if (dropped) {
                channel.close();
            } else {
                send();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            waiting = false;
            if (response.status().code() != 204) {
                log.warn("announce_refused", "status", response.status().code());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            ended();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            log.warn("announce_connection_failed", "error", cause);
            ctx.close();
        }
    }
}
