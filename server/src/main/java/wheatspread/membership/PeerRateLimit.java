package wheatspread.membership;

import java.util.HashMap;
import java.util.Map;

/** Limits how often this member sends a view, a view request or its full state to one peer, to bound reply traffic. */
final class PeerRateLimit {
    /**
     * The minimum interval between two such messages to a peer; a peer that is still outdated after it gets the next
     * message.
     */
    private static final long INTERVAL_MICROS = 300_000;
    /**
     * The maximum number of entries; if it is exceeded, all entries are removed, which costs one additional message per
     * peer.
     */
    private static final int MAX_PEERS = 4_096;

    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    private final Map<MemberId, Long> lastSentMicros = new HashMap<>();

    /** Returns whether a message to the peer is allowed now; if so, a new interval starts for the peer. */
    boolean tryAcquire(MemberId peer, long nowMicros) {
        if (lastSentMicros.size() > MAX_PEERS) {
            lastSentMicros.clear();
        }
        if (nowMicros < lastSentMicros.getOrDefault(peer, NEVER_MICROS) + INTERVAL_MICROS) {
            return false;
        }
        lastSentMicros.put(peer, nowMicros);
        return true;
    }
}
