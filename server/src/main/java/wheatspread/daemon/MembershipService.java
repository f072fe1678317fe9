package wheatspread.daemon;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.List;
import java.util.SplittableRandom;
import org.json.JSONArray;
import org.json.JSONObject;
import wheatspread.config.MembershipConfig;
import wheatspread.control.ControlFront;
import wheatspread.core.Clock;
import wheatspread.logging.EventLog;
import wheatspread.membership.Member;
import wheatspread.membership.MemberId;
import wheatspread.membership.Membership;
import wheatspread.membership.View;
import wheatspread.peers.PeerTransport;
import wheatspread.transport.EventLoopScheduler;
import wheatspread.transport.Transport;

/**
 * Connects this server to its cluster of peers, and provides the cluster's part of the operators' endpoint: metrics,
 * and the paths {@code /_members} and {@code /_members/form}. The service owns the sockets to the peers; {@link
 * ShutdownSequence} calls {@link #leave} and {@link #close}. {@link #open} is called on the thread that starts the
 * server, and all other methods on the event loop's thread.
 */
final class MembershipService {
    /** The delay before the next attempt to bind a socket that the earlier process still holds. */
    private static final long BIND_RETRY_MICROS = 250_000;

    private final String cluster;
    private final String name;
    private final PeerTransport peers;
    private final Clock clock;
    private final EventLog log;
    private boolean closed;

    MembershipService(
            MembershipConfig config, String name, Transport transport, EventLoop loop, Clock clock, EventLog log) {
        cluster = config.cluster();
        this.name = name;
        this.clock = clock;
        this.log = log;
        long start = clock.nowMicros() / 1_000;
        Package program = MembershipService.class.getPackage();
        String build = program.getImplementationVersion() == null ? "" : program.getImplementationVersion();
        Member self = new Member(new MemberId(name, start), config.advertise(), config.zone(), build, 0);
        // the seed differs between servers, since otherwise all servers would send at the same times
        peers = new PeerTransport(
                cluster,
                config.listen(),
                self,
                config.seeds(),
                transport,
                loop,
                clock,
                new SplittableRandom(start * 31 + name.hashCode()),
                log);
    }

    /**
     * Binds the sockets. In an {@code upgrade} the earlier process may hold them until it exits, so binding is retried
     * until it succeeds.
     *
     * @throws IllegalStateException if a socket cannot be bound and this is not an upgrade
     */
    void open(boolean upgrade) {
        Future<Void> opening = peers.open();
        if (upgrade) {
            opening.addListener(done -> {
                if (!done.isSuccess()) {
                    log.info("peer_bind_delayed", "error", done.cause().getMessage());
                    clock.schedule(BIND_RETRY_MICROS, this::retryOpen);
                }
            });
        } else if (!opening.awaitUninterruptibly().isSuccess()) {
            throw new IllegalStateException(
                    "cannot listen for peers: " + opening.cause().getMessage(), opening.cause());
        }
    }

    private void retryOpen() {
        if (!closed) {
            open(true);
        }
    }

    /** Announces to the peers that this server leaves. */
    void leave() {
        peers.leave();
    }

    /** Closes the sockets. */
    void close() {
        closed = true;
        peers.close();
    }

    /** Returns the lines of the cluster's metrics for the operators' endpoint. */
    String metrics() {
        Membership membership = peers.membership();
        View view = membership.view();
        return peers.counters().text("edge_gw.peers.") + "edge_gw.peers.members="
                + (view == null ? 0 : view.size()) + "\nedge_gw.peers.stands="
                + (membership.isQuorumReachable(EventLoopScheduler.monotonicMicros()) ? 1 : 0) + "\n";
    }

    /** Answers a request to the operators' endpoint; returns null for a path that does not belong to the cluster. */
    ControlFront.ControlResponse answer(String method, String path) {
        if (path.equals("/_members")) {
            return method.equals("GET")
                    ? new ControlFront.ControlResponse("200 OK", membersJson().toString() + "\n")
                    : new ControlFront.ControlResponse("405 Method Not Allowed", "only GET\n");
        }
        if (path.equals("/_members/form")) {
            if (!method.equals("POST")) {
                return new ControlFront.ControlResponse("405 Method Not Allowed", "only POST\n");
            }
            String refusal = peers.orderBootstrap();
            log.info("bootstrap_ordered", "refused", refusal == null ? "no" : refusal);
            return refusal == null
                    ? new ControlFront.ControlResponse("200 OK", "forming\n")
                    : new ControlFront.ControlResponse("409 Conflict", refusal + "\n");
        }
        return null;
    }

    private JSONObject membersJson() {
        long nowMicros = EventLoopScheduler.monotonicMicros();
        Membership membership = peers.membership();
        View view = membership.view();
        JSONArray members = new JSONArray();
        for (int i = 0; view != null && i < view.size(); i++) {
            Member member = view.members().get(i);
            boolean isMember = membership.isMember();
            members.put(new JSONObject()
                    .put("name", member.id().name())
                    .put("start", member.id().incarnation())
                    .put("address", member.address())
                    .put("zone", member.zone())
                    .put("build", member.build())
                    .put("config", member.config())
                    .put("suspected_by", isMember ? membership.suspectingObservers(i) : List.of())
                    .put("missed_by", isMember ? membership.reportingObservers(i) : List.of())
                    .put("suspected_ms", membership.suspectedForMicros(member.id(), nowMicros) / 1_000));
        }
        return new JSONObject()
                .put("cluster", cluster)
                .put("name", name)
                .put("start", membership.self().id().incarnation())
                .put("epoch", view == null ? 0 : view.id().epoch())
                .put("number", view == null ? 0 : view.id().number())
                .put("in", membership.isMember())
                .put("stands", membership.isQuorumReachable(nowMicros))
                .put("why_not", membership.quorumUnreachableReason(nowMicros))
                .put("distrust", membership.localHealthMultiplier())
                .put("members", members);
    }
}
