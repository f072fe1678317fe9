package wheatspread.membership;

import wheatspread.membership.Message.Body;

/**
 * Brings members with different views to the same view: if the view of another member takes precedence over this
 * member's view, this member requests it; otherwise this member sends its own view to the other member.
 */
final class ViewExchange {
    private final MembershipState state;
    private final PeerRateLimit rateLimit;
    private final MessageSender sender;
    /** When a member of this epoch last reported a reachable quorum while this server was not in the view. */
    private long quorumReportedMicros;

    ViewExchange(MembershipState state, PeerRateLimit rateLimit, MessageSender sender) {
        this.state = state;
        this.rateLimit = rateLimit;
        this.sender = sender;
    }

    /** Records a message from a member of a view with a reachable quorum; called while this server is in no view. */
    void onReachableQuorum(ViewId view, long nowMicros) {
        if (view.epoch() == state.viewId().epoch()) {
            quorumReportedMicros = nowMicros;
        }
    }

    /** Handles a message from a member that has a different view. */
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

    /** Returns whether the sender's view takes precedence over this member's view. */
    boolean takesPrecedence(Message message, long nowMicros) {
        boolean ownQuorumReachable = state.isMember()
                ? state.isQuorumReachable(nowMicros)
                : state.view() != null && nowMicros < quorumReportedMicros + ClusterBootstrap.QUIET_WAIT_MICROS;
        return ViewPrecedence.takesPrecedence(
                message.view(), message.quorumReachable(), state.viewId(), ownQuorumReachable);
    }

    /**
     * Called when a view without this server was installed. Such a view comes from a member that reaches a quorum, so
     * its quorum counts as reachable at this time.
     */
    void onLeftView(long nowMicros) {
        quorumReportedMicros = nowMicros;
    }
}
