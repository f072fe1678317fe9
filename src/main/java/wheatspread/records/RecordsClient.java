package wheatspread.records;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import wheatspread.admission.Admission.Outcome;
import wheatspread.core.Clock;
import wheatspread.core.Records;

/** Calls to the records service over a few connections that are used again and again. */
public final class RecordsClient implements Records {
    /** The service closes what was idle for 10 s; a call must not cross that. */
    private static final long IDLE_MOST = 8_000_000;
    /** Calls on one connection before another is opened: a break fails all that are on it. */
    private static final int SHARED_BY = 4;
    /** A connection that hangs longer counts as refused: nothing was sent on it. */
    private static final int CONNECT_MS = 1_000;
    private static final int MOST_CONNECTIONS = 16;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Clock clock;
    private final Consumer<String> log;
    private final List<Connection> connections = new ArrayList<>();

    public RecordsClient(EventLoop loop, InetSocketAddress address, Clock clock, Consumer<String> log) {
        this.loop = loop;
        this.address = address;
        this.clock = clock;
        this.log = log;
    }

    @Override
    public Call call(String job, byte[] body, long patience, Listener listener) {
        Connection connection = pick(job);
        Pending pending = new Pending(connection, job, body, Math.max(1, patience / 1000), listener);
        connection.add(pending);
        return pending;
    }

    public void close() {
        new ArrayList<>(connections).forEach(Connection::close);
    }

    private Connection pick(String job) {
        Connection best = null;
        for (Connection c : new ArrayList<>(connections)) {
            if (c.pending.isEmpty() && clock.now() - c.usedAt > IDLE_MOST) {
                c.close();
            } else if (!c.stale.contains(job) && (best == null || c.pending.size() < best.pending.size())) {
                best = c;
            }
        }
        if (best == null || best.pending.size() >= SHARED_BY && connections.size() < MOST_CONNECTIONS) {
            best = new Connection();
            connections.add(best);
            best.open();
        }
        return best;
    }

    /** One call that has no reply yet. */
    private static final class Pending implements Call {
        private final Connection connection;
        private final String job;
        private final byte[] body;
        private final long patienceMs;
        private final Listener listener;

        Pending(Connection connection, String job, byte[] body, long patienceMs, Listener listener) {
            this.connection = connection;
            this.job = job;
            this.body = body;
            this.patienceMs = patienceMs;
            this.listener = listener;
        }

        @Override
        public void giveUp() {
            connection.giveUp(this);
        }
    }

    /** One connection with the calls on it. */
    private final class Connection extends SimpleChannelInboundHandler<ReplyDecoder.Reply> {
        private final Map<String, Pending> pending = new LinkedHashMap<>();
        /** Jobs whose call here was given up: a reply that crossed it is not one to a later call. */
        private final Set<String> stale = new HashSet<>();
        private Channel channel;
        private long usedAt = clock.now();

        void open() {
            new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new ReplyDecoder(), Connection.this);
                    }
                }).connect(address).addListener(done -> {
                    if (!done.isSuccess()) {
                        ended(Outcome.CONNECT_ERROR); // nothing was sent, so no call ran
                    }
                });
        }

        void close() {
            connections.remove(this);
            if (channel != null) {
                channel.close();
            }
        }

        void add(Pending call) {
            usedAt = clock.now();
            pending.put(call.job, call);
            if (channel != null) {
                send(call);
            }
        }

        private void send(Pending call) {
            byte[] line = ("OP " + call.job + ' ' + call.patienceMs + ' ' + call.body.length + "\r\n")
                .getBytes(StandardCharsets.US_ASCII);
            ByteBuf out = channel.alloc().buffer(line.length + call.body.length + 2);
            out.writeBytes(line).writeBytes(call.body).writeByte('\r').writeByte('\n');
            channel.writeAndFlush(out, channel.voidPromise());
        }

        void giveUp(Pending call) {
            if (pending.remove(call.job, call) && channel != null) {
                stale.add(call.job);
                ByteBuf out = channel.alloc().buffer();
                out.writeCharSequence("UNOP " + call.job + "\r\n", StandardCharsets.US_ASCII);
                channel.writeAndFlush(out, channel.voidPromise());
            }
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            pending.values().forEach(this::send);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ReplyDecoder.Reply reply) {
            usedAt = clock.now();
            Pending call = pending.remove(reply.job());
            if (call != null) {
                call.listener.ended(outcome(reply.word()), reply.body());
            }
        }

        private Outcome outcome(String word) {
            return switch (word) {
                case "DONE" -> Outcome.OK;
                case "WAIT" -> Outcome.QUEUE_FULL;
                case "EMPTY" -> Outcome.CONNECT_ERROR; // as good as unreached: it proves that no call ran
                case "PAST" -> Outcome.TIMED_OUT;
                default -> Outcome.FAILED;
            };
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            ended(Outcome.RESET);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            log.accept("records connection: " + cause);
            ctx.close();
        }

        private void ended(Outcome outcome) {
            connections.remove(this);
            List<Pending> broken = new ArrayList<>(pending.values());
            pending.clear();
            broken.forEach(call -> call.listener.ended(outcome, null));
        }
    }
}
