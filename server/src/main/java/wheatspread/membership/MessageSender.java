package wheatspread.membership;

import java.util.List;
import wheatspread.membership.Message.Body;

/**
 * Completes and sends this member's messages: each carries the number of the sender's view and a digest of the reports
 * and votes that the sender knows for that view.
 */
final class MessageSender {
    /** The maximum number of gossip updates on one message, with which the message still fits in one datagram. */
    private static final int MAX_UPDATES_PER_MESSAGE = 16;

    private final MembershipState state;
    private final GossipQueue queue;
    private final Membership.Actions actions;

    MessageSender(MembershipState state, GossipQueue queue, Membership.Actions actions) {
        this.state = state;
        this.queue = queue;
        this.actions = actions;
    }

    /** Sends a message with queued gossip updates, if there are any. */
    void send(String address, Body body, long nowMicros) {
        List<GossipUpdate> updates = state.isMember() ? queue.poll(MAX_UPDATES_PER_MESSAGE) : List.of();
        send(address, body, updates, nowMicros);
    }

    /** Sends a message without gossip updates, for a receiver that may have a different view or no view. */
    void sendWithoutGossip(String address, Body body, long nowMicros) {
        send(address, body, List.of(), nowMicros);
    }

    /** Sends the given updates, and leaves the gossip queue unchanged. */
    void sendUpdates(String address, List<GossipUpdate> updates, long nowMicros) {
        send(address, new Body.Gossip(), updates, nowMicros);
    }

    private void send(String address, Body body, List<GossipUpdate> updates, long nowMicros) {
        MemberId from = state.self().id();
        boolean quorumReachable = state.isQuorumReachable(nowMicros);
        actions.send(address, new Message(from, state.viewId(), quorumReachable, state.digest(), body, updates));
    }
}
