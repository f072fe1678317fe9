package wheatspread.lab.scale;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import wheatspread.core.Clock;
import wheatspread.logging.EventLog;
import wheatspread.membership.Member;
import wheatspread.membership.MemberId;
import wheatspread.membership.Membership;
import wheatspread.peers.PeerAddress;
import wheatspread.peers.PeerCounters;
import wheatspread.peers.PeerTransport;
import wheatspread.transport.EventLoopScheduler;
import wheatspread.transport.Transport;

/**
 * One hollow server: the program's own membership on sockets of its own, and nothing else of a server. All methods
 * but the constructor and {@link #open} are called on its event loop's thread.
 */
final class HollowMember implements EventLog {
    /** A member that leaves and is not let go ends after this long; microseconds. */
    private static final long LEAVE_MICROS = 6_000_000;

    private final MemberSpec spec;
    private final PeerTransport peers;
    private final FaultyLinks links;
    private final Clock clock;
    private final Consumer<Set<String>> removed;
    private ViewKey view;
    private boolean in;
    private Runnable whenLeft;
    private boolean closed;

    /** What a member shares with the others of its loop. */
    record Surroundings(
            String cluster, List<String> seeds, Transport transport, EventLoop loop, Clock clock, long seed) {}

    /** {@code removed} hears of members that went from a view and not by themselves. */
    HollowMember(MemberSpec spec, Surroundings around, Consumer<Set<String>> removed) {
        this.spec = spec;
        this.removed = removed;
        clock = around.clock();
        long drawn = around.seed() * 31 + spec.start() + spec.name().hashCode();
        links = new FaultyLinks(spec.address(), new SplittableRandom(~drawn));
        peers = new PeerTransport(
                around.cluster(),
                PeerAddress.parse(spec.address()),
                new Member(new MemberId(spec.name(), spec.start()), spec.address(), spec.zone(), "hollow", 0),
                around.seeds(),
                around.transport(),
                around.loop(),
                clock,
                new SplittableRandom(drawn),
                this);
        peers.setLinkFilter(links);
    }

    MemberSpec spec() {
        return spec;
    }

    Future<Void> open() {
        return peers.open();
    }

    void close() {
        closed = true;
        peers.close();
    }

    /** Leaves the fleet, ends, and runs {@code then}. */
    void leave(Runnable then) {
        whenLeft = then;
        peers.leave();
        clock.schedule(LEAVE_MICROS, this::left);
    }

    private void left() {
        if (!closed) {
            close();
            whenLeft.run();
        }
    }

    /** Whether it is on its way out. */
    boolean isLeaving() {
        return whenLeft != null;
    }

    void links(LinkFaults faults) {
        links.set(faults);
    }

    PeerCounters counts() {
        return peers.counters();
    }

    /** The view that holds here; null before the first. */
    ViewKey view() {
        return view;
    }

    boolean isIn() {
        return in;
    }

    /** Whether it thinks that its view is old. */
    boolean isOld() {
        return !peers.membership().isQuorumReachable(EventLoopScheduler.monotonicMicros());
    }

    /** Whether it waits longer than usual before it accuses others. */
    boolean distrusts() {
        Membership membership = peers.membership();
        return membership.localHealthMultiplier() > 1;
    }

    @Override
    public void log(Level level, String event, Object... fields) {
        if (!event.equals(ViewEvents.NAME)) {
            return;
        }
        Map<String, Object> told = EventLog.map(fields);
        view = new ViewKey(told.get("id").toString(), (int) told.get("members"), (String) told.get("list"));
        in = (boolean) told.get("in");
        Set<String> gone = ViewEvents.removed(told.get("gone").toString());
        if (!gone.isEmpty()) {
            removed.accept(gone);
        }
        if (whenLeft != null && !in) {
            clock.runAfterTurn(this::left);
        }
    }
}
