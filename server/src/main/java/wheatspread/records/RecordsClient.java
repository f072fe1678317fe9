package wheatspread.records;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import wheatspread.admission.Outcome;
import wheatspread.core.Clock;
import wheatspread.core.RecordsService;
import wheatspread.logging.EventLog;

/**
 * Calls to the records service over connections that are used again while they are fresh. A reply that is
 * spoilt or never comes makes its connection useless to all that is on it, so each call has one to itself
 * as long as there are enough of them.
 */
public final class RecordsClient implements RecordsService {
    /** Unused for longer, a connection may be closed or forgotten by the service, which would cost a call. */
    private static final long IDLE_MOST = 1_000_000;
    /** A connection that hangs longer counts as refused: nothing was sent on it. */
    private static final int CONNECT_MS = 1_000;
    /** Calls after which a connection is closed, since what it remembers of them grows. */
    private static final int MOST_CALLS = 64;

    private static final long SWEEP = 500_000;

    private final Bootstrap clients;
    private final Clock clock;
    private final int mostConnections;
    private final EventLog log;
    /** Those to the present address that may take calls, the one used last at the end. */
    private final List<Connection> connections = new ArrayList<>();
    /** Those that take no more calls, until what is in hand there has ended. */
    private final Set<Connection> leaving = new HashSet<>();

    private InetSocketAddress address;
    private boolean sweeping;

    /**
     * Past {@code mostConnections} calls share them. {@code address} is null where the deployment has no
     * records service; a call is then as one that was refused, since nobody was asked.
     */
    public RecordsClient(Bootstrap clients, InetSocketAddress address, int mostConnections, Clock clock, EventLog log) {
        this.clients = clients;
        this.address = address;
        this.mostConnections = mostConnections;
        this.clock = clock;
        this.log = log;
    }

    @Override
    public Call call(String job, byte[] body, long patience, Listener listener) {
        if (address == null) {
            return nobodyThere(listener);
        }
        Connection connection = pick(job);
        Pending pending = new Pending(connection, job, body, Math.max(1, patience / 1000), listener);
        connection.add(pending);
        return pending;
    }

    private Call nobodyThere(Listener listener) {
        Clock.Timer refusal = clock.after(0, () -> listener.ended(Outcome.CONNECT_ERROR, null));
        return refusal::cancel;
    }

    /** The service is to be reached at another address from now on; calls in hand may end at the old one. */
    public void moveTo(InetSocketAddress next) {
        if (!Objects.equals(next, address)) {
            address = next;
            new ArrayList<>(connections).forEach(Connection::leave);
        }
    }

    public void close() {
        new ArrayList<>(connections).forEach(Connection::close);
        new ArrayList<>(leaving).forEach(Connection::close);
    }

    /** The free connection used last, so that the others grow old and go; a new one; or the least busy. */
    private Connection pick(String job) {
        Connection best = null;
        for (Connection c : new ArrayList<>(connections)) {
            if (c.idleFor() > IDLE_MOST) {
                c.close();
            } else if (!c.seen.contains(job) && (best == null || c.pending.size() <= best.pending.size())) {
                best = c;
            }
        }
        boolean full = connections.size() + leaving.size() >= mostConnections;
        if (best == null || !best.pending.isEmpty() && !full) {
            best = new Connection();
            best.open();
        }
        connections.remove(best);
        connections.add(best);
        if (!sweeping) {
            sweeping = true;
            clock.after(SWEEP, this::sweep);
        }
        return best;
    }

    /** Closes what nobody used for a while. */
    private void sweep() {
        new ArrayList<>(connections)
                .stream().filter(c -> c.idleFor() > IDLE_MOST).forEach(Connection::close);
        sweeping = !connections.isEmpty();
        if (sweeping) {
            clock.after(SWEEP, this::sweep);
        }
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
        /**
         * The jobs that had a call here. None gets a second one: a late reply, or a second copy of one, would
         * be taken for the reply to that.
         */
        private final Set<String> seen = new HashSet<>();

        private Channel channel;
        private long usedAt = clock.nowMicros();

        void open() {
            clients.clone()
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel ch) {
                            ch.pipeline().addLast(new ReplyDecoder(), Connection.this);
                        }
                    })
                    .connect(address)
                    .addListener(done -> {
                        if (!done.isSuccess()) {
                            ended(Outcome.CONNECT_ERROR); // nothing was sent, so no call ran
                        }
                    });
        }

        long idleFor() {
            return pending.isEmpty() ? clock.nowMicros() - usedAt : 0;
        }

        void close() {
            connections.remove(this);
            leaving.remove(this);
            if (channel != null) {
                channel.close();
            }
        }

        /** Takes no more calls, and goes with the last of those in hand. */
        void leave() {
            connections.remove(this);
            leaving.add(this);
            closeIfDone();
        }

        private void closeIfDone() {
            if (pending.isEmpty() && leaving.contains(this)) {
                close();
            }
        }

        void add(Pending call) {
            usedAt = clock.nowMicros();
            seen.add(call.job);
            pending.put(call.job, call);
            if (channel != null) {
                send(call);
            }
            if (seen.size() >= MOST_CALLS) {
                leave();
            }
        }

        private void send(Pending call) {
            byte[] line = ("OP " + call.job + ' ' + call.patienceMs + ' ' + call.body.length + "\r\n")
                    .getBytes(StandardCharsets.US_ASCII);
            ByteBuf out = channel.alloc().buffer(line.length + call.body.length + 2);
            out.writeBytes(line).writeBytes(call.body).writeByte('\r').writeByte('\n');
            channel.writeAndFlush(out, channel.voidPromise());
        }

        /** No reply came in time: this connection may be one that never brings another. */
        void giveUp(Pending call) {
            if (pending.remove(call.job, call)) {
                if (channel != null) {
                    ByteBuf out = channel.alloc().buffer();
                    out.writeCharSequence("UNOP " + call.job + "\r\n", StandardCharsets.US_ASCII);
                    channel.writeAndFlush(out, channel.voidPromise());
                }
                leave();
            }
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            if (connections.contains(this) || leaving.contains(this)) {
                pending.values().forEach(this::send);
            } else {
                channel.close(); // all it was opened for was given up
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ReplyDecoder.Reply reply) {
            usedAt = clock.nowMicros();
            Pending call = pending.remove(reply.job());
            if (call != null) {
                call.listener.ended(outcome(reply.word()), reply.body());
                closeIfDone();
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
            log.warn("records_connection_failed", "error", cause);
            ctx.close();
        }

        private void ended(Outcome outcome) {
            connections.remove(this);
            leaving.remove(this);
            List<Pending> broken = new ArrayList<>(pending.values());
            pending.clear();
            broken.forEach(call -> call.listener.ended(outcome, null));
        }
    }
}
