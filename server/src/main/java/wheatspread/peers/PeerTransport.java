package wheatspread.peers;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.EventLoop;
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
 * Drives {@link Membership} on one event loop: hands it received messages and the time of its turns, and carries what
 * it sends as datagrams or, where those are too small, on streams. {@link InboundRateLimit} bounds how many messages
 * are read, so peers hold the loop only for a bounded share of its time.
 */
public final class PeerTransport {
    private static final long NO_TURN = Long.MAX_VALUE;

    private final EventLoop loop;
    private final Clock clock;
    private final EventLog log;
    private final InetSocketAddress listen;
    private final MessageCodec codec;
    private final Membership membership;
    private final PeerCounters counters = new PeerCounters();
    private final InboundRateLimit rateLimit = new InboundRateLimit();
    private final PeerDatagrams datagrams;
    private final PeerStreams streams;
    private LinkFilter linkFilter = LinkFilter.NONE;
    private Clock.Timer turnTimer;
    private long turnMicros = NO_TURN;
    private boolean started;
    private boolean closed;

    /** {@code self} holds the address at which others reach this server, which listens at {@code listen}. */
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
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.listen = listen;
        codec = new MessageCodec(cluster, self.address());
        datagrams = new PeerDatagrams(transport, loop, counters, log, this::receive);
        streams = new PeerStreams(transport, loop, clock, counters, this::receive);
        membership = new Membership(self, seeds, DetectorSettings.DEFAULT, random, new MembershipActions());
    }

    /** Messages pass this filter from now on; on the loop's thread, or before {@link #open}. */
    public void setLinkFilter(LinkFilter filter) {
        linkFilter = filter;
    }

    /** Binds both sockets and starts membership; where one socket can't be bound, neither stays open. */
    public Future<Void> open() {
        Promise<Void> opened = loop.newPromise();
        datagrams.bind(listen).addListener(bound -> {
            if (bound.isSuccess()) {
                openStreams(opened);
            } else {
                opened.setFailure(bound.cause());
            }
        });
        return opened;
    }

    private void openStreams(Promise<Void> opened) {
        streams.bind(listen).addListener(bound -> {
            if (bound.isSuccess()) {
                start();
                opened.setSuccess(null);
            } else {
                datagrams.close();
                opened.setFailure(bound.cause());
            }
        });
    }

    private void start() {
        if (closed) {
            datagrams.close();
            streams.close();
            return;
        }
        started = true;
        membership.start(EventLoopScheduler.monotonicMicros());
        scheduleTurn();
    }

    /**
     * An operator's order to form the cluster anew; on the loop's thread.
     *
     * @return why it is refused, or null
     */
    public String orderBootstrap() {
        String refusal = membership.orderBootstrap(EventLoopScheduler.monotonicMicros());
        scheduleTurn();
        return refusal;
    }

    /** Announces that this server leaves; on the loop's thread. */
    public void leave() {
        membership.leave();
        scheduleTurn();
    }

    /** Closes both sockets and stops membership; on the loop's thread. */
    public void close() {
        closed = true;
        if (turnTimer != null) {
            turnTimer.cancel();
        }
        datagrams.close();
        streams.close();
    }

    /** What is known of the cluster; on the loop's thread. */
    public Membership membership() {
        return membership;
    }

    /** Counts of messages since the start; on the loop's thread. */
    public PeerCounters counters() {
        return counters;
    }

    private void scheduleTurn() {
        long nextMicros = closed || !started ? NO_TURN : membership.nextTurnMicros();
        if (nextMicros == turnMicros) {
            return;
        }
        if (turnTimer != null) {
            turnTimer.cancel();
            turnTimer = null;
        }
        turnMicros = nextMicros;
        if (nextMicros != NO_TURN) {
            turnTimer = clock.schedule(Math.max(0, nextMicros - EventLoopScheduler.monotonicMicros()), this::turn);
        }
    }

    private void turn() {
        turnTimer = null;
        turnMicros = NO_TURN;
        if (!closed) {
            membership.turn(EventLoopScheduler.monotonicMicros());
            scheduleTurn();
        }
    }

    private void receive(ByteBuf bytes) {
        counters.recordReceived(bytes.readableBytes());
        if (closed || !rateLimit.tryAcquire(EventLoopScheduler.monotonicMicros())) {
            counters.recordOverRate();
            return;
        }
        try {
            MessageCodec.Received received = codec.decode(ByteBufUtil.getBytes(bytes));
            if (!linkFilter.receives(received.address())) {
                return;
            }
            membership.receive(received.address(), received.message(), EventLoopScheduler.monotonicMicros());
            scheduleTurn();
        } catch (MalformedMessageException e) {
            counters.recordMalformed(e.reason());
        }
    }

    /** What membership does to the outside. */
    private final class MembershipActions implements Membership.Actions {
        @Override
        public void send(String address, Message message) {
            byte[] bytes = codec.encode(message);
            InetSocketAddress to = PeerAddress.parse(address);
            if (closed || to == null) {
                return;
            }
            counters.recordSent(bytes.length);
            if (!linkFilter.sends(address)) {
                return;
            }
            if (bytes.length > PeerDatagrams.MAX_DATAGRAM_BYTES) {
                counters.recordOversized();
                streams.send(to, bytes);
            } else {
                datagrams.send(to, bytes);
            }
        }

        @Override
        public void onViewInstalled(View before, View now, List<Departure> gone) {
            List<String> joined = now.members().stream()
                    .filter(member -> before == null || before.indexOf(member.id()) < 0)
                    .map(member -> member.id().toString())
                    .toList();
            List<String> departed = gone.stream()
                    .map(departure ->
                            departure.member() + " " + departure.cause().logName() + " " + departure.witnesses())
                    .toList();
            // a hash that is equal on all servers with this view; the list itself is too long for a line
            String membersHash = Integer.toHexString(now.members().toString().hashCode());
            boolean isMember = now.indexOf(membership.self().id()) >= 0;
            log.info(
                    "view",
                    "id",
                    now.id(),
                    "members",
                    now.size(),
                    "list",
                    membersHash,
                    "in",
                    isMember,
                    "come",
                    joined,
                    "gone",
                    departed);
        }

        @Override
        public long unixMillis() {
            return clock.nowMicros() / 1_000;
        }
    }
}
