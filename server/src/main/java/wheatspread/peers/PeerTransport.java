package wheatspread.peers;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.random.RandomGenerator;
import wheatspread.core.Clock;
import wheatspread.logging.EventLog;
import wheatspread.membership.Departure;
import wheatspread.membership.DetectorSettings;
import wheatspread.membership.Member;
import wheatspread.membership.Membership;
import wheatspread.membership.Message;
import wheatspread.membership.View;
import wheatspread.transport.EventLoopScheduler;
import wheatspread.transport.Transport;

/**
 * The thin I/O under {@link Membership}: datagrams, a stream for what does not fit in one, and its turns.
 * All of it runs on the one event loop and holds it only for a message at a time, of which {@link InboundRateLimit}
 * bounds the number.
 */
public final class PeerTransport {
    /** What goes in one datagram on any network. */
    static final int MOST_DATAGRAM = 1_200;

    private static final int LARGEST_READ = 2_048;
    /** A view of {@link MessageCodec#MOST_MEMBERS} with long names. */
    private static final int LARGEST_FRAME = 2 << 20;

    private static final int MOST_STREAMS = 16;
    private static final int CONNECT_MS = 1_000;
    private static final long STREAM_TIME = 3_000_000;

    private final Transport transport;
    private final EventLoop loop;
    private final Clock clock;
    private final EventLog log;
    private final InetSocketAddress listen;
    private final MessageCodec codec;
    private final Membership membership;
    private final PeerCounters counts = new PeerCounters();
    private final InboundRateLimit rate = new InboundRateLimit();
    private LinkFilter links = LinkFilter.NONE;
    private Channel datagrams;
    private Channel streams;
    private int streamsOpen;
    private Clock.Timer timer;
    private long timerAt = Long.MAX_VALUE;
    private boolean begun;
    private boolean closed;

    /** {@code self} says where others reach this server, which listens at {@code listen}. */
    public PeerTransport(
            String cluster,
            InetSocketAddress listen,
            Member self,
            List<String> seeds,
            Transport transport,
            EventLoop loop,
            Clock clock,
            RandomGenerator random,
            EventLog log) {
        this.transport = transport;
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.listen = listen;
        codec = new MessageCodec(cluster, self.address());
        membership = new Membership(self, seeds, DetectorSettings.USUAL, random, new Outside());
    }

    /** Messages pass this filter from now on; on the loop's thread, or before {@link #open}. */
    public void filter(LinkFilter filter) {
        links = filter;
    }

    /** Binds both sockets and begins; where one can't be bound, neither is. */
    public Future<Void> open() {
        Promise<Void> opened = loop.newPromise();
        ChannelFuture first = new Bootstrap()
                .group(loop)
                .channel(transport.datagramChannel())
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(LARGEST_READ))
                .handler(new Datagrams())
                .bind(listen);
        first.addListener(bound -> {
            if (!bound.isSuccess()) {
                opened.setFailure(bound.cause());
                return;
            }
            datagrams = first.channel();
            ChannelFuture second = new ServerBootstrap()
                    .group(loop)
                    .channel(transport.serverChannel())
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childHandler(new Streams())
                    .bind(listen);
            second.addListener(both -> {
                if (!both.isSuccess()) {
                    datagrams.close();
                    opened.setFailure(both.cause());
                    return;
                }
                streams = second.channel();
                begin();
                opened.setSuccess(null);
            });
        });
        return opened;
    }

    private void begin() {
        if (closed) {
            datagrams.close();
            streams.close();
            return;
        }
        begun = true;
        membership.start(EventLoopScheduler.micros());
        plan();
    }

    /** An operator's order to found the fleet anew; why not, or null. On the loop's thread. */
    public String found() {
        String refused = membership.found(EventLoopScheduler.micros());
        plan();
        return refused;
    }

    /** This server is about to go; on the loop's thread. */
    public void leave() {
        membership.leave();
        plan();
    }

    /** On the loop's thread. */
    public void close() {
        closed = true;
        if (timer != null) {
            timer.cancel();
        }
        for (Channel one : new Channel[] {datagrams, streams}) {
            if (one != null) {
                one.close();
            }
        }
    }

    /** What is known of the fleet; on the loop's thread. */
    public Membership membership() {
        return membership;
    }

    public PeerCounters counts() {
        return counts;
    }

    // ---- turns ----

    private void plan() {
        long next = closed || !begun ? Long.MAX_VALUE : membership.nextTurn();
        if (next == timerAt) {
            return;
        }
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
        timerAt = next;
        if (next != Long.MAX_VALUE) {
            timer = clock.after(Math.max(0, next - EventLoopScheduler.micros()), this::turn);
        }
    }

    private void turn() {
        timer = null;
        timerAt = Long.MAX_VALUE;
        if (!closed) {
            membership.turn(EventLoopScheduler.micros());
            plan();
        }
    }

    private void read(ByteBuf bytes) {
        int length = bytes.readableBytes();
        counts.received(length);
        if (closed || !rate.take(EventLoopScheduler.micros())) {
            counts.overRate();
            return;
        }
        try {
            MessageCodec.Received told = codec.decode(ByteBufUtil.getBytes(bytes));
            if (!links.receives(told.address())) {
                return;
            }
            membership.received(told.address(), told.message(), EventLoopScheduler.micros());
            plan();
        } catch (MalformedMessageException e) {
            counts.malformed(e.kind());
        }
    }

    /** What membership does to the outside. */
    private final class Outside implements Membership.Actions {
        @Override
        public void send(String address, Message message) {
            byte[] bytes = codec.encode(message);
            InetSocketAddress to = PeerAddress.parse(address);
            if (closed || to == null) {
                return;
            }
            counts.sent(bytes.length);
            if (!links.sends(address)) {
                return;
            }
            if (bytes.length > MOST_DATAGRAM) {
                counts.large();
                stream(to, bytes);
            } else {
                datagrams
                        .writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), to))
                        .addListener(done -> {
                            if (!done.isSuccess()) {
                                counts.unsent();
                            }
                        });
            }
        }

        @Override
        public void changed(View before, View now, List<Departure> gone) {
            List<String> come = now.members().stream()
                    .filter(one -> before == null || before.indexOf(one.id()) < 0)
                    .map(one -> one.id().toString())
                    .toList();
            // equal on all servers for one view, whose list would be too long for a line
            String list = Integer.toHexString(now.members().toString().hashCode());
            log.info(
                    "view",
                    "id",
                    now.id(),
                    "members",
                    now.size(),
                    "list",
                    list,
                    "in",
                    now.indexOf(membership.self().id()) >= 0,
                    "come",
                    come,
                    "gone",
                    gone.stream()
                            .map(one -> one.who() + " " + one.cause() + " " + one.witnesses())
                            .toList());
        }

        @Override
        public long unixMillis() {
            return clock.nowMicros() / 1_000;
        }
    }

    // ---- sockets ----

    /** Sends what is too large for a datagram on a connection of its own. */
    private void stream(InetSocketAddress to, byte[] bytes) {
        if (streamsOpen >= MOST_STREAMS) {
            counts.unsent();
            return;
        }
        streamsOpen++;
        new Bootstrap()
                .group(loop)
                .channel(transport.clientChannel())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        bound(channel);
                    }
                })
                .connect(to)
                .addListener(done -> {
                    if (!done.isSuccess()) {
                        counts.unsent();
                        return;
                    }
                    Channel channel = ((ChannelFuture) done).channel();
                    channel.writeAndFlush(Unpooled.wrappedBuffer(
                                    Unpooled.buffer(4).writeInt(bytes.length), Unpooled.wrappedBuffer(bytes)))
                            .addListener(written -> channel.close());
                });
    }

    /** A stream is counted until it is closed, and closed when its time is over. */
    private void bound(Channel channel) {
        Clock.Timer end = clock.after(STREAM_TIME, channel::close);
        channel.closeFuture().addListener(gone -> {
            end.cancel();
            streamsOpen--;
        });
    }

    private final class Datagrams extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            read(packet.content());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            log.warn("peers_failed", "error", cause.toString());
        }
    }

    /** Takes streams in, one message each. */
    private final class Streams extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            if (streamsOpen >= MOST_STREAMS) {
                counts.overRate();
                channel.close();
                return;
            }
            streamsOpen++;
            bound(channel);
            channel.pipeline()
                    .addLast(
                            new LengthFieldBasedFrameDecoder(LARGEST_FRAME, 0, 4, 0, 4),
                            new SimpleChannelInboundHandler<ByteBuf>() {
                                @Override
                                protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
                                    read(frame);
                                    ctx.close();
                                }

                                @Override
                                public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                                    counts.malformed(MalformedMessageException.Kind.GARBAGE);
                                    ctx.close();
                                }
                            });
        }
    }
}
