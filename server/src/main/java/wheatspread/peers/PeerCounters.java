package wheatspread.peers;

import java.util.EnumMap;
import java.util.Map;

/** Counts of messages sent to and received from peers since the start, and of those dropped, by reason. */
public final class PeerCounters {
    private long sent;
    private long sentBytes;
    private long received;
    private long receivedBytes;
    private long oversized;
    private long sendFailures;
    private long overRate;
    private final Map<MalformedMessageException.Reason, Long> malformed =
            new EnumMap<>(MalformedMessageException.Reason.class);

    void recordSent(int bytes) {
        sent++;
        sentBytes += bytes;
    }

    void recordReceived(int bytes) {
        received++;
        receivedBytes += bytes;
    }

    /** A message did not fit in a datagram and went on a stream. */
    void recordOversized() {
        oversized++;
    }

    /** A message could not be sent; the failure detector finds out what that means. */
    void recordSendFailure() {
        sendFailures++;
    }

    /** A message or stream above the limit of {@link InboundRateLimit} or of open streams was dropped. */
    void recordOverRate() {
        overRate++;
    }

    void recordMalformed(MalformedMessageException.Reason reason) {
        malformed.merge(reason, 1L, Long::sum);
    }

    /** How many messages were sent. */
    public long sent() {
        return sent;
    }

    /** How many bytes were sent, without the headers of IP, UDP and TCP. */
    public long sentBytes() {
        return sentBytes;
    }

    /** How many messages came faster than {@link InboundRateLimit} lets them be read. */
    public long overRate() {
        return overRate;
    }

    /** How many messages were dropped as malformed, for whatever reason. */
    public long malformed() {
        return malformed.values().stream().mapToLong(Long::longValue).sum();
    }

    /** The counters as {@code name=value} lines; these names are part of the operators' interface. */
    public String text(String prefix) {
        StringBuilder text = new StringBuilder();
        line(text, prefix + "sent", sent);
        line(text, prefix + "sent_bytes", sentBytes);
        line(text, prefix + "received", received);
        line(text, prefix + "received_bytes", receivedBytes);
        line(text, prefix + "large", oversized);
        line(text, prefix + "unsent", sendFailures);
        line(text, prefix + "over_rate", overRate);
        for (MalformedMessageException.Reason reason : MalformedMessageException.Reason.values()) {
            line(text, prefix + "unread_" + reason.counterName(), malformed.getOrDefault(reason, 0L));
        }
        return text.toString();
    }

    private static void line(StringBuilder text, String name, long value) {
        text.append(name).append('=').append(value).append('\n');
    }
}
