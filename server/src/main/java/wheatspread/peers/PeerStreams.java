package wheatspread.peers;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import wheatspread.core.Clock;
import wheatspread.transport.Transport;

/**
 * Sends and receives messages that are too large for a datagram, each on a separate TCP connection: a length of four
 * bytes, then the message. The number and lifetime of open connections are limited. All calls are made on the event
 * loop's thread.
 */
final class PeerStreams {
    /** The maximum size of a message, which fits a view of {@link MessageCodec#MAX_MEMBERS} with long names. */
    private static final int MAX_FRAME_BYTES = 2 << 20;

    private static final int LENGTH_BYTES = 4;
    /** The maximum number of open connections, inbound and outbound together. */
    private static final int MAX_OPEN_STREAMS = 16;

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    /** A connection is closed after this time, even if its message is not complete. */
    private static final long STREAM_TIMEOUT_MICROS = 3_000_000;

    private final Transport transport;
    private final EventLoop loop;
    private final Clock clock;
    private final PeerCounters counters;
    private final Consumer<ByteBuf> onMessage;
    private Channel listener;
    private int openStreams;

    PeerStreams(Transport transport, EventLoop loop, Clock clock, PeerCounters counters, Consumer<ByteBuf> onMessage) {
        this.transport = transport;
        this.loop = loop;
        this.clock = clock;
        this.counters = counters;
        this.onMessage = onMessage;
    }

    /** Listens for connections; the returned future completes when the socket is bound. */
    ChannelFuture bind(InetSocketAddress listen) {
        ChannelFuture binding = new ServerBootstrap()
                .group(loop)
                .channel(transport.serverChannel())
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new InboundInitializer())
                .bind(listen);
        binding.addListener(done -> {
            if (done.isSuccess()) {
                listener = binding.channel();
            }
        });
        return binding;
    }

    void close() {
        if (listener != null) {
            listener.close();
        }
    }

    /** Sends a message on a new connection; a failure is counted, and the message is not sent again. */
    void send(InetSocketAddress recipient, byte[] message) {
        if (openStreams >= MAX_OPEN_STREAMS) {
            counters.recordSendFailure();
            return;
        }
        openStreams++;
        new Bootstrap()
                .group(loop)
                .channel(transport.clientChannel())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new OutboundInitializer())
                .connect(recipient)
                .addListener((ChannelFuture connecting) -> {
                    if (connecting.isSuccess()) {
                        writeAndClose(connecting.channel(), message);
                    } else {
                        counters.recordSendFailure();
                    }
                });
    }

    private static void writeAndClose(Channel channel, byte[] message) {
        ByteBuf length = Unpooled.buffer(LENGTH_BYTES).writeInt(message.length);
        channel.writeAndFlush(Unpooled.wrappedBuffer(length, Unpooled.wrappedBuffer(message)))
                .addListener(written -> channel.close());
    }

    /** Closes a stream after {@link #STREAM_TIMEOUT_MICROS}, and decrements the number of open streams on its close. */
    private void limitLifetime(Channel channel) {
        Clock.Timer timeout = clock.schedule(STREAM_TIMEOUT_MICROS, channel::close);
        channel.closeFuture().addListener(done -> {
            timeout.cancel();
            openStreams--;
        });
    }

    /** Sets up a connection that this server opens. */
    private final class OutboundInitializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            limitLifetime(channel);
        }
    }

    /** Sets up a connection that a peer opens, or closes it if too many are open. */
    private final class InboundInitializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            if (openStreams >= MAX_OPEN_STREAMS) {
                counters.recordOverRate();
                channel.close();
                return;
            }
            openStreams++;
            limitLifetime(channel);
            channel.pipeline()
                    .addLast(
                            new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                            new InboundHandler());
        }
    }

    /** Reads the message of a connection and closes the connection. */
    private final class InboundHandler extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            onMessage.accept(frame);
            context.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            counters.recordMalformed(MalformedMessageException.Reason.INVALID);
            context.close();
        }
    }
}
