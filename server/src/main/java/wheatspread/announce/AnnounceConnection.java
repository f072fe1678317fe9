package wheatspread.announce;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import wheatspread.logging.EventLog;

/** One HTTP connection to the announce service, with at most one report without an answer. */
final class AnnounceConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final int MAX_RESPONSE_BYTES = 64 * 1024;

    /** What the connection needs from the client that opened it. */
    interface Owner {
        /** Returns whether this server accepts work, as the next report states it. */
        boolean accepting();

        /** The connection failed to open, or has closed. */
        void ended(AnnounceConnection connection);
    }

    private final Owner owner;
    private final InetSocketAddress address;
    private final String serverName;
    private final EventLog log;
    /** Null until it is connected. */
    private Channel channel;

    private boolean awaitsAnswer = true;
    private boolean closed;

    AnnounceConnection(Owner owner, InetSocketAddress address, String serverName, EventLog log) {
        this.owner = owner;
        this.address = address;
        this.serverName = serverName;
        this.log = log;
    }

    /** Connects and sends a report once connected. */
    void connect(Bootstrap clients) {
        clients.clone()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline()
                                .addLast(
                                        new HttpClientCodec(),
                                        new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                                        AnnounceConnection.this);
                    }
                })
                .connect(address)
                .addListener(result -> {
                    if (!result.isSuccess()) {
                        owner.ended(this);
                    }
                });
    }

    /** Returns whether it is still connecting or its last report has no answer yet. */
    boolean awaitsAnswer() {
        return awaitsAnswer;
    }

    void close() {
        closed = true;
        if (channel != null) {
            channel.close();
        }
    }

    /** Sends a report; only while no answer is awaited. */
    void send() {
        awaitsAnswer = true;
        byte[] body = ("{\"accepting\":\"" + owner.accepting() + "\"}").getBytes(StandardCharsets.US_ASCII);
        DefaultFullHttpRequest put = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.PUT, "/announce/" + serverName, Unpooled.wrappedBuffer(body));
        put.headers().set(HttpHeaderNames.HOST, address.getHostString() + ':' + address.getPort());
        put.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        channel.writeAndFlush(put, channel.voidPromise());
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        if (closed) {
            channel.close();
        } else {
            send();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
        awaitsAnswer = false;
        int status = response.status().code();
        if (status != HttpResponseStatus.NO_CONTENT.code()) {
            log.warn("load_report_rejected", "status", status);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        owner.ended(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        log.warn("announce_connection_failed", "error", cause);
        ctx.close();
    }
}
