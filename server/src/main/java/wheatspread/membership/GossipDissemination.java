package wheatspread.membership;

import wheatspread.membership.Message.Body;

/**
 * Spreads gossip: queues this member's own updates and those that were new here, and sends rounds of messages to
 * random members while there is something to spread. Other messages carry queued updates too.
 */
final class GossipDissemination {
    private static final long ROUND_INTERVAL_MICROS = 100_000;
    /** Members that one round of gossip goes to (the fan-out). */
    private static final int FAN_OUT = 3;
    /** Rounds after a view change even where nothing is queued, so that members of the old view learn of it. */
    private static final int NEW_VIEW_ROUNDS = 10;

    private final MembershipState state;
    private final GossipQueue queue;
    private final GossipUpdateHandler handler;
    private final KnownUpdates knownUpdates;
    private final PeerSelector peers;
    private final MessageSender sender;
    private long nextRoundMicros;
    private int newViewRoundsLeft;

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

    /** Applies and queues an update of this member's own. */
    void publish(GossipUpdate update) {
        if (handler.apply(update)) {
            queue.add(update);
        }
    }

    /** Applies an update of another member and passes it on where it was new; returns whether it is new evidence. */
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

    /** Queues what is known of the agreement, which supersedes what was queued of it before. */
    void queueAgreement() {
        knownUpdates.agreement(member -> member == state.ownIndex()).forEach(queue::add);
    }

    /** Whether a round would have something to spread. */
    boolean hasPending() {
        return !queue.isEmpty() || newViewRoundsLeft > 0;
    }

    long nextRoundMicros() {
        return nextRoundMicros;
    }

    /** Sends a round of gossip, where it is time and there is something to spread. */
    void run(long nowMicros) {
        if (nowMicros < nextRoundMicros) {
            return;
        }
        nextRoundMicros = nowMicros + ROUND_INTERVAL_MICROS;
        if (state.isMember() && state.view().size() > 1 && hasPending()) {
            newViewRoundsLeft = Math.max(0, newViewRoundsLeft - 1);
            for (int i = 0; i < FAN_OUT; i++) {
                sender.send(peers.randomOther().address(), new Body.Gossip(), nowMicros);
            }
        }
    }

    /** Forgets the updates about the last view: they say nothing about this one. */
    void onViewInstalled() {
        queue.reset(state.view().size());
        if (state.isMember()) {
            newViewRoundsLeft = NEW_VIEW_ROUNDS;
        }
    }
}
