package wheatspread.membership;

import wheatspread.membership.Message.Body;

/**
 * Brings members that hold different views to the same one: asks for a view that takes precedence over the one held
 * here, and sends this one where it takes precedence.
 */
final class ViewExchange {
    private final MembershipState state;
    private final PeerRateLimit rateLimit;
    private final MessageSender sender;
    /** When a member of the held view last said that its quorum is reachable, while this one is not a member. */
    private long quorumSeenMicros;

    ViewExchange(MembershipState state, PeerRateLimit rateLimit, MessageSender sender) {
        this.state = state;
        this.rateLimit = rateLimit;
        this.sender = sender;
    }

    /** A message came from a member of a view with a reachable quorum, while this one is not a member of its view. */
    void onReachableQuorum(ViewId view, long nowMicros) {
        if (view.epoch() == state.viewId().epoch()) {
            quorumSeenMicros = nowMicros;
        }
    }

    /** A message came from a member that holds another view. */
    void onOtherView(String address, Message message, long nowMicros) {
        if (takesPrecedence(message, nowMicros)) {
            boolean carriesView = message.body() instanceof Body.ViewResponse;
            if (!carriesView && rateLimit.tryAcquire(message.from(), nowMicros)) {
                sender.send(address, new Body.ViewRequest(), nowMicros);
            }
        } else if (state.isMember() && rateLimit.tryAcquire(message.from(), nowMicros)) {
            sender.sendWithoutGossip(address, new Body.ViewResponse(state.view()), nowMicros);
        }
    }

    void onViewRequest(String address, long nowMicros) {
        if (state.isMember()) {
            sender.send(address, new Body.ViewResponse(state.view()), nowMicros);
        }
    }

    /** Whether the sender's view takes precedence over the one held here. */
    boolean takesPrecedence(Message message, long nowMicros) {
        boolean ownQuorumReachable = state.isMember()
                ? state.isQuorumReachable(nowMicros)
                : state.view() != null && nowMicros < quorumSeenMicros + ClusterBootstrap.QUIET_MICROS;
        return ViewPrecedence.takesPrecedence(
                message.view(), message.quorumReachable(), state.viewId(), ownQuorumReachable);
    }

    /** This member is not in the view that was just installed; it was learnt from one whose quorum is reachable. */
    void onLeftView(long nowMicros) {
        quorumSeenMicros = nowMicros;
    }
}
