package wheatspread.membership;

import java.util.List;

/**
 * Anti-entropy: a member of the same view whose digest differs is sent everything that is known about the view, since
 * gossip alone may miss a member.
 */
final class StateSynchronizer {
    private static final long MIN_INTERVAL_MICROS = 20_000;
    /** Bounds the rate to 1,000 updates a second, since the state of a large fleet takes long to send. */
    private static final long INTERVAL_PER_UPDATE_MICROS = 1_000;

    private final MembershipState state;
    private final KnownUpdates knownUpdates;
    private final PeerRateLimit rateLimit;
    private final MessageSender sender;
    private long nextSyncMicros;

    StateSynchronizer(MembershipState state, KnownUpdates knownUpdates, PeerRateLimit rateLimit, MessageSender sender) {
        this.state = state;
        this.knownUpdates = knownUpdates;
        this.rateLimit = rateLimit;
        this.sender = sender;
    }

    /** Sends the full state to the sender of a message of this view, where its digest differs and the rate allows. */
    void onMessage(String address, Message message, long nowMicros) {
        if (message.digest() != state.digest()
                && state.view().indexOf(message.from()) >= 0
                && nowMicros >= nextSyncMicros
                && rateLimit.tryAcquire(message.from(), nowMicros)) {
            List<GossipUpdate> updates = knownUpdates.all();
            nextSyncMicros = nowMicros + Math.max(MIN_INTERVAL_MICROS, updates.size() * INTERVAL_PER_UPDATE_MICROS);
            sender.sendUpdates(address, updates, nowMicros);
        }
    }
}
