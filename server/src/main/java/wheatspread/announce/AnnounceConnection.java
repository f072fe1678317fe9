package wheatspread.announce;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
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

/** An HTTP connection to the announce service, with at most one unanswered report. Confined to the event loop. */
final class AnnounceConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final int MAX_RESPONSE_BYTES = 64 * 1024;
    /** The buffer size of one read; a response is much smaller. */
    private static final int READ_BUFFER_BYTES = 1024;

    /** The callbacks to the client that opened the connection. */
    interface Owner {
        /** Returns whether this server accepts requests, for the next report. */
        boolean accepting();

        /** The connection could not be opened or has closed. */
        void ended(AnnounceConnection connection);
    }

    private final Owner owner;
    private final InetSocketAddress address;
    private final String serverName;
    private final EventLog log;
    /** Null until the connection is established. */
    private Channel channel;

    private boolean awaitsAnswer = true;
    private boolean closed;

    AnnounceConnection(Owner owner, InetSocketAddress address, String serverName, EventLog log) {
        this.owner = owner;
        this.address = address;
        this.serverName = serverName;
        this.log = log;
    }

    /** Starts to connect, and sends a report once the connection is established. */
    void connect(Bootstrap bootstrap) {
        bootstrap
                .clone()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(READ_BUFFER_BYTES).maxMessagesPerRead(1))
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

    /** Returns whether the connection is still connecting or its last report is unanswered. */
    boolean awaitsAnswer() {
        return awaitsAnswer;
    }

    void close() {
        closed = true;
        if (channel != null) {
            channel.close();
        }
    }

    /** Sends a report. Must not be called while {@link #awaitsAnswer} returns true. */
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
        if (!awaitsAnswer) {
            closeAfterUnexpectedResponse(ctx);
            return;
        }
        awaitsAnswer = false;
        int status = response.status().code();
        if (status != HttpResponseStatus.NO_CONTENT.code()) {
            log.warn("load_report_rejected", "status", status);
        }
    }

    /** Closes a connection whose responses do not belong to reports; the next report opens another. */
    private void closeAfterUnexpectedResponse(ChannelHandlerContext ctx) {
        if (!closed) {
            log.warn("announce_response_unexpected");
            close();
            ctx.channel().config().setAutoRead(false);
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
