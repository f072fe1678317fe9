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

/** This server among its peers, and what operators are told of that. */
final class MembershipService {
    /** How often a socket is tried again that the process before this one still holds; us. */
    private static final long BIND_AGAIN = 250_000;

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
        // drawn apart from all other servers of the fleet, or all would do everything at once
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
     * Binds the sockets. {@code upgrade}: the process before this one may hold them until it has left, so
     * they are tried again; else what can't be bound is thrown.
     */
    void open(boolean upgrade) {
        Future<Void> opening = peers.open();
        if (upgrade) {
            opening.addListener(done -> {
                if (!done.isSuccess()) {
                    log.info("peers_wait", "error", done.cause().getMessage());
                    clock.after(BIND_AGAIN, this::openAgain);
                }
            });
        } else if (!opening.awaitUninterruptibly().isSuccess()) {
            throw new IllegalStateException(
                    "cannot listen for peers: " + opening.cause().getMessage(), opening.cause());
        }
    }

    private void openAgain() {
        if (!closed) {
            open(true);
        }
    }

    void leave() {
        peers.leave();
    }

    void close() {
        closed = true;
        peers.close();
    }

    /** The lines of this for the figures of the operators' door. */
    String vars() {
        Membership membership = peers.membership();
        View view = membership.view();
        return peers.counts().text("edge_gw.peers.") + "edge_gw.peers.members="
                + (view == null ? 0 : view.size()) + "\nedge_gw.peers.stands="
                + (membership.stands(EventLoopScheduler.micros()) ? 1 : 0) + "\n";
    }

    /** The operators' calls that there are with this; null for any other. */
    ControlFront.Told answer(String method, String path) {
        if (path.equals("/_members")) {
            return method.equals("GET")
                    ? new ControlFront.Told("200 OK", members().toString() + "\n")
                    : new ControlFront.Told("405 Method Not Allowed", "only GET\n");
        }
        if (path.equals("/_members/form")) {
            if (!method.equals("POST")) {
                return new ControlFront.Told("405 Method Not Allowed", "only POST\n");
            }
            String refused = peers.found();
            log.info("form_ordered", "refused", refused == null ? "no" : refused);
            return refused == null
                    ? new ControlFront.Told("200 OK", "forming\n")
                    : new ControlFront.Told("409 Conflict", refused + "\n");
        }
        return null;
    }

    private JSONObject members() {
        long now = EventLoopScheduler.micros();
        Membership membership = peers.membership();
        View view = membership.view();
        JSONArray members = new JSONArray();
        for (int i = 0; view != null && i < view.size(); i++) {
            Member one = view.members().get(i);
            boolean in = membership.isIn();
            members.put(new JSONObject()
                    .put("name", one.id().name())
                    .put("start", one.id().start())
                    .put("address", one.address())
                    .put("zone", one.zone())
                    .put("build", one.build())
                    .put("config", one.config())
                    .put("suspected_by", in ? membership.suspectedBy(i) : List.of())
                    .put("missed_by", in ? membership.reportedBy(i) : List.of())
                    .put("suspected_ms", membership.suspectedFor(one.id(), now) / 1_000));
        }
        return new JSONObject()
                .put("cluster", cluster)
                .put("name", name)
                .put("start", membership.self().id().start())
                .put("epoch", view == null ? 0 : view.id().epoch())
                .put("number", view == null ? 0 : view.id().number())
                .put("in", membership.isIn())
                .put("stands", membership.stands(now))
                .put("why_not", membership.whyNot(now))
                .put("distrust", membership.distrust())
                .put("members", members);
    }
}
