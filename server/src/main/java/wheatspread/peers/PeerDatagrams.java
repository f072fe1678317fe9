package wheatspread.peers;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import wheatspread.logging.EventLog;
import wheatspread.transport.Transport;

/** The UDP socket for messages that fit in one datagram. All calls are made on the event loop's thread. */
final class PeerDatagrams {
    /** The maximum payload, which passes through usual networks without fragmentation. */
    static final int MAX_DATAGRAM_BYTES = 1_200;

    private static final int RECEIVE_BUFFER_BYTES = 2_048;

    private final Transport transport;
    private final EventLoop loop;
    private final PeerCounters counters;
    private final EventLog log;
    private final Consumer<ByteBuf> onMessage;
    private Channel socket;

    PeerDatagrams(
            Transport transport, EventLoop loop, PeerCounters counters, EventLog log, Consumer<ByteBuf> onMessage) {
        this.transport = transport;
        this.loop = loop;
        this.counters = counters;
        this.log = log;
        this.onMessage = onMessage;
    }

    /** Binds the socket; the returned future completes when that is done. */
    ChannelFuture bind(InetSocketAddress listen) {
        ChannelFuture binding = new Bootstrap()
                .group(loop)
                .channel(transport.datagramChannel())
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(RECEIVE_BUFFER_BYTES))
                .handler(new InboundHandler())
                .bind(listen);
        binding.addListener(done -> {
            if (done.isSuccess()) {
                socket = binding.channel();
            }
        });
        return binding;
    }

    void close() {
        if (socket != null) {
            socket.close();
        }
    }

    /** Sends a message; a failure is counted, and the message is not sent again. */
    void send(InetSocketAddress recipient, byte[] message) {
        socket.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(message), recipient))
                .addListener(done -> {
                    if (!done.isSuccess()) {
                        counters.recordSendFailure();
                    }
                });
    }

    /** Passes the content of each datagram to {@code onMessage}. */
    private final class InboundHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            onMessage.accept(packet.content());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            log.warn("peers_failed", "error", cause.toString());
        }
    }
}
