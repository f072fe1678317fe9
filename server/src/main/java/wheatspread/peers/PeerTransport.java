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
 * Drives {@link Membership} on one event loop: passes received messages to it, runs its turns, and sends its messages
 * as datagrams or, if they do not fit, on streams. {@link InboundRateLimit} limits how many messages are read, so that
 * messages of peers take a bounded share of the event loop's time.
 */
public final class PeerTransport {
    private static final long NO_TURN_MICROS = Long.MAX_VALUE;

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
    private long turnMicros = NO_TURN_MICROS;
    private boolean started;
    private boolean closed;

    /**
     * Creates the transport; {@link #open} binds its sockets.
     *
     * @param self this server as a member, with the address at which other servers reach it
     * @param listen the address to which the sockets are bound
     */
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

    /** Sets the filter for all further messages; must be called on the loop's thread, or before {@link #open}. */
    public void setLinkFilter(LinkFilter filter) {
        linkFilter = filter;
    }

    /** Binds both sockets and starts membership; if either socket cannot be bound, no socket stays open. */
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
     * Starts forming a new cluster on an operator's order; must be called on the loop's thread.
     *
     * @return why the order is refused; null if it is accepted
     */
    public String orderBootstrap() {
        String refusal = membership.orderBootstrap(EventLoopScheduler.monotonicMicros());
        scheduleTurn();
        return refusal;
    }

    /** Announces that this server leaves; must be called on the loop's thread. */
    public void leave() {
        membership.leave();
        scheduleTurn();
    }

    /** Closes both sockets and stops membership; must be called on the loop's thread. */
    public void close() {
        closed = true;
        if (turnTimer != null) {
            turnTimer.cancel();
        }
        datagrams.close();
        streams.close();
    }

    /** Returns the membership protocol's state; must be used on the loop's thread. */
    public Membership membership() {
        return membership;
    }

    /** Returns the message counters; must be used on the loop's thread. */
    public PeerCounters counters() {
        return counters;
    }

    private void scheduleTurn() {
        long nextMicros = closed || !started ? NO_TURN_MICROS : membership.nextTurnMicros();
        if (nextMicros == turnMicros) {
            return;
        }
        if (turnTimer != null) {
            turnTimer.cancel();
            turnTimer = null;
        }
        turnMicros = nextMicros;
        if (nextMicros != NO_TURN_MICROS) {
            turnTimer = clock.schedule(Math.max(0, nextMicros - EventLoopScheduler.monotonicMicros()), this::turn);
        }
    }

    private void turn() {
        turnTimer = null;
        turnMicros = NO_TURN_MICROS;
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

    /** Sends membership's messages and logs its views. */
    private final class MembershipActions implements Membership.Actions {
        @Override
        public void send(String address, Message message) {
            byte[] bytes = codec.encode(message);
            InetSocketAddress recipient = PeerAddress.parse(address);
            if (closed || recipient == null) {
                return;
            }
            counters.recordSent(bytes.length);
            if (!linkFilter.sends(address)) {
                return;
            }
            if (bytes.length > PeerDatagrams.MAX_DATAGRAM_BYTES) {
                counters.recordOversized();
                streams.send(recipient, bytes);
            } else {
                datagrams.send(recipient, bytes);
            }
        }

        @Override
        public void onViewInstalled(View previous, View installed, List<Departure> departures) {
            List<String> joined = installed.members().stream()
                    .filter(member -> previous == null || previous.indexOf(member.id()) < 0)
                    .map(member -> member.id().toString())
                    .toList();
            List<String> departed = departures.stream()
                    .map(departure ->
                            departure.member() + " " + departure.cause().logName() + " " + departure.witnesses())
                    .toList();
            // the hash is equal on all servers with this view; the list of members would be too long for a log line
            String membersHash =
                    Integer.toHexString(installed.members().toString().hashCode());
            boolean isMember = installed.indexOf(membership.self().id()) >= 0;
            log.info(
                    "view",
                    "id",
                    installed.id(),
                    "members",
                    installed.size(),
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
