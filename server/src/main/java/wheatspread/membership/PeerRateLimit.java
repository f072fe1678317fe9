package wheatspread.membership;

import java.util.HashMap;
import java.util.Map;

/** Bounds how often one peer is sent a view, a view request or the full state, so that answers do not multiply. */
final class PeerRateLimit {
    /** A peer that is still behind after this time is sent the same again. */
    private static final long INTERVAL_MICROS = 300_000;
    /** Peers that are remembered; beyond that all are forgotten, which costs one more message to each. */
    private static final int MAX_PEERS = 4_096;

    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    private final Map<MemberId, Long> lastSentMicros = new HashMap<>();

    /** Whether the peer may be sent something now; if so, the interval begins anew. */
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
