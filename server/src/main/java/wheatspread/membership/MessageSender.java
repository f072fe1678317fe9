package wheatspread.membership;

import java.util.List;
import wheatspread.membership.Message.Body;

/** Addresses, fills and sends this member's messages: each carries the sender's view and a digest of its knowledge. */
final class MessageSender {
    /** Gossip updates on one message; with these a message still fits in one datagram. */
    private static final int MAX_UPDATES_PER_MESSAGE = 16;

    private final MembershipState state;
    private final GossipQueue queue;
    private final Membership.Actions actions;

    MessageSender(MembershipState state, GossipQueue queue, Membership.Actions actions) {
        this.state = state;
        this.queue = queue;
        this.actions = actions;
    }

    /** Sends a message that carries gossip, where there is any. */
    void send(String address, Body body, long nowMicros) {
        List<GossipUpdate> updates = state.isMember() ? queue.poll(MAX_UPDATES_PER_MESSAGE) : List.of();
        send(address, body, updates, nowMicros);
    }

    /** Sends a message without gossip: the receiver may hold another view, or none. */
    void sendWithoutGossip(String address, Body body, long nowMicros) {
        send(address, body, List.of(), nowMicros);
    }

    /** Sends these updates, whether they are queued or not. */
    void sendUpdates(String address, List<GossipUpdate> updates, long nowMicros) {
        send(address, new Body.Gossip(), updates, nowMicros);
    }

    private void send(String address, Body body, List<GossipUpdate> updates, long nowMicros) {
        MemberId from = state.self().id();
        boolean quorumReachable = state.isQuorumReachable(nowMicros);
        actions.send(address, new Message(from, state.viewId(), quorumReachable, state.digest(), body, updates));
    }
}
