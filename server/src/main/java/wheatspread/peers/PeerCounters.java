package wheatspread.peers;

import java.util.EnumMap;
import java.util.Map;

/** What went to and came from peers since the start, and what of it was not read. */
public final class PeerCounters {
    private long sent;
    private long sentBytes;
    private long received;
    private long receivedBytes;
    private long large;
    private long unsent;
    private long overRate;
    private final Map<MalformedMessageException.Kind, Long> malformed =
            new EnumMap<>(MalformedMessageException.Kind.class);

    void sent(int bytes) {
        sent++;
        sentBytes += bytes;
    }

    void received(int bytes) {
        received++;
        receivedBytes += bytes;
    }

    /** One that did not fit in a datagram. */
    void large() {
        large++;
    }

    /** One that could not be sent; probes tell what that means. */
    void unsent() {
        unsent++;
    }

    /** One that came faster than a fleet may talk, and was not read. */
    void overRate() {
        overRate++;
    }

    void malformed(MalformedMessageException.Kind kind) {
        malformed.merge(kind, 1L, Long::sum);
    }

    /** How many messages were sent. */
    public long sent() {
        return sent;
    }

    /** How many bytes were sent, without the headers of IP, UDP and TCP. */
    public long sentBytes() {
        return sentBytes;
    }

    /** How many messages came faster than {@link RateLimit} lets them be read. */
    public long overRateCount() {
        return overRate;
    }

    public long malformed() {
        return malformed.values().stream().mapToLong(Long::longValue).sum();
    }

    /** {@code name=value} lines. */
    public String text(String prefix) {
        StringBuilder text = new StringBuilder();
        line(text, prefix + "sent", sent);
        line(text, prefix + "sent_bytes", sentBytes);
        line(text, prefix + "received", received);
        line(text, prefix + "received_bytes", receivedBytes);
        line(text, prefix + "large", large);
        line(text, prefix + "unsent", unsent);
        line(text, prefix + "over_rate", overRate);
        for (MalformedMessageException.Kind kind : MalformedMessageException.Kind.values()) {
            line(
                    text,
                    prefix + "unread_" + kind.name().toLowerCase(java.util.Locale.ROOT),
                    malformed.getOrDefault(kind, 0L));
        }
        return text.toString();
    }

    private static void line(StringBuilder text, String name, long value) {
        text.append(name).append('=').append(value).append('\n');
    }
}
