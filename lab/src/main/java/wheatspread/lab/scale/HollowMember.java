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
 * One hollow server: the server's own membership code on separate sockets, without the other parts of a server. All
 * methods but the constructor and {@link #open} are called on the thread of the member's event loop.
 */
final class HollowMember implements EventLog {
    /** A leaving member closes after this time even if no view without it was installed. */
    private static final long LEAVE_TIMEOUT_MICROS = 6_000_000;

    private final MemberSpec spec;
    private final PeerTransport peers;
    private final FaultyLinks links;
    private final Clock clock;
    private final Consumer<Set<String>> removed;
    private ViewKey view;
    private boolean inView;
    private Runnable afterLeave;
    private boolean closed;

    /** What the members of one event loop share. */
    record Context(String cluster, List<String> seeds, Transport transport, EventLoop loop, Clock clock, long seed) {}

    /**
     * {@code removed} receives members that a new view no longer contains although they did not leave by themselves.
     */
    HollowMember(MemberSpec spec, Context context, Consumer<Set<String>> removed) {
        this.spec = spec;
        this.removed = removed;
        clock = context.clock();
        long memberSeed = context.seed() * 31 + spec.start() + spec.name().hashCode();
        links = new FaultyLinks(spec.address(), new SplittableRandom(~memberSeed));
        peers = new PeerTransport(
                context.cluster(),
                PeerAddress.parse(spec.address()),
                new Member(new MemberId(spec.name(), spec.start()), spec.address(), spec.zone(), "hollow", 0),
                context.seeds(),
                context.transport(),
                context.loop(),
                clock,
                new SplittableRandom(memberSeed),
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

    /** Leaves the fleet, closes the sockets, and runs {@code task} afterwards. */
    void leave(Runnable task) {
        afterLeave = task;
        peers.leave();
        clock.schedule(LEAVE_TIMEOUT_MICROS, this::finishLeave);
    }

    private void finishLeave() {
        if (!closed) {
            close();
            afterLeave.run();
        }
    }

    /** Whether this member has begun to leave. */
    boolean isLeaving() {
        return afterLeave != null;
    }

    void setLinkFaults(LinkFaults faults) {
        links.set(faults);
    }

    PeerCounters counters() {
        return peers.counters();
    }

    /** The installed view; null before the first view is installed. */
    ViewKey view() {
        return view;
    }

    /** Whether the installed view contains this member. */
    boolean isInView() {
        return inView;
    }

    /** Whether this member reaches no quorum of its view, so that the view may be stale. */
    boolean isViewStale() {
        return !peers.membership().isQuorumReachable(EventLoopScheduler.monotonicMicros());
    }

    /** Whether the local health multiplier is raised, so that this member waits longer before it suspects others. */
    boolean hasRaisedLocalHealth() {
        Membership membership = peers.membership();
        return membership.localHealthMultiplier() > 1;
    }

    @Override
    public void log(Level level, String event, Object... fields) {
        if (!event.equals(ViewEvents.NAME)) {
            return;
        }
        Map<String, Object> values = EventLog.map(fields);
        view = new ViewKey(values.get("id").toString(), (int) values.get("members"), (String) values.get("list"));
        inView = (boolean) values.get("in");
        Set<String> removedIds = ViewEvents.removed(values.get("gone").toString());
        if (!removedIds.isEmpty()) {
            removed.accept(removedIds);
        }
        if (afterLeave != null && !inView) {
            clock.runAfterTurn(this::finishLeave);
        }
    }
}
