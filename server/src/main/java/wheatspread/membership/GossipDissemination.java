package wheatspread.membership;

import wheatspread.membership.Message.Body;

/**
 * Disseminates gossip: queues this member's own updates and received updates that were new, and sends rounds of
 * messages to random members while updates are queued. Messages of other kinds carry queued updates too.
 */
final class GossipDissemination {
    private static final long ROUND_INTERVAL_MICROS = 100_000;
    /** The number of members to which a round of gossip is sent. */
    private static final int FAN_OUT = 3;
    /**
     * The number of rounds that are sent after a view change even if the queue is empty, so that members with the old
     * view learn of the change.
     */
    private static final int NEW_VIEW_ROUNDS = 10;

    private final MembershipState state;
    private final GossipQueue queue;
    private final GossipUpdateHandler handler;
    private final KnownUpdates knownUpdates;
    private final PeerSelector peers;
    private final MessageSender sender;
    private long nextRoundMicros;
    private int remainingNewViewRounds;

    GossipDissemination(
            MembershipState state,
            GossipQueue queue,
            GossipUpdateHandler handler,
            KnownUpdates knownUpdates,
            PeerSelector peers,
            MessageSender sender) {
        this.state = state;
        this.queue = queue;
        this.handler = handler;
        this.knownUpdates = knownUpdates;
        this.peers = peers;
        this.sender = sender;
    }

    /** Applies an update that this member made, and queues it if it was new. */
    void publish(GossipUpdate update) {
        if (handler.apply(update)) {
            queue.add(update);
        }
    }

    /** Applies an update of another member and passes it on if it was new; returns whether it is new evidence. */
    boolean receive(GossipUpdate update) {
        if (!handler.apply(update)) {
            return false;
        }
        GossipUpdate.Category category = update.category();
        switch (category) {
            case EVIDENCE, SUSPICION -> queue.add(update);
            case PROMISE -> {
                queue.add(update);
                queueAgreement();
            }
            case VOTES -> queueAgreement();
            default -> throw new IllegalStateException("unknown category " + category);
        }
        return category == GossipUpdate.Category.EVIDENCE;
    }

    /** Queues the known votes, the ballot and the promise of this member, which supersede the ones queued before. */
    void queueAgreement() {
        knownUpdates.agreementUpdates(member -> member == state.ownIndex()).forEach(queue::add);
    }

    /** Returns whether updates are queued or rounds after a view change remain. */
    boolean hasPending() {
        return !queue.isEmpty() || remainingNewViewRounds > 0;
    }

    /** Returns the earliest time of the next round. */
    long nextRoundMicros() {
        return nextRoundMicros;
    }

    /** Sends a round of gossip if a round is due and {@link #hasPending}. */
    void run(long nowMicros) {
        if (nowMicros < nextRoundMicros) {
            return;
        }
        nextRoundMicros = nowMicros + ROUND_INTERVAL_MICROS;
        if (state.isMember() && state.view().size() > 1 && hasPending()) {
            remainingNewViewRounds = Math.max(0, remainingNewViewRounds - 1);
            for (int i = 0; i < FAN_OUT; i++) {
                sender.send(peers.randomOther().address(), new Body.Gossip(), nowMicros);
            }
        }
    }

    /** Discards the queued updates, which refer to the previous view. */
    void onViewInstalled() {
        queue.reset(state.view().size());
        if (state.isMember()) {
            remainingNewViewRounds = NEW_VIEW_ROUNDS;
        }
    }
}
