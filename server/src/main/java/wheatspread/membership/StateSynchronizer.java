package wheatspread.membership;

import java.util.List;

/**
 * Anti-entropy: sends everything that is known about the view to a member of the same view with a different digest,
 * since gossip alone may not reach every member.
 */
final class StateSynchronizer {
    private static final long MIN_INTERVAL_MICROS = 20_000;
    /** Limits the rate to 1,000 updates per second, since the state of a large fleet takes long to send. */
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

    /**
     * Sends the full state to the sender of a message of this view if the digest of the message differs from that of
     * this member and the rate limits allow it.
     */
    void onMessage(String address, Message message, long nowMicros) {
        if (message.digest() != state.digest()
                && state.view().indexOf(message.from()) >= 0
                && nowMicros >= nextSyncMicros
                && rateLimit.tryAcquire(message.from(), nowMicros)) {
            List<GossipUpdate> updates = knownUpdates.allUpdates();
            nextSyncMicros = nowMicros + Math.max(MIN_INTERVAL_MICROS, updates.size() * INTERVAL_PER_UPDATE_MICROS);
            sender.sendUpdates(address, updates, nowMicros);
        }
    }
}
