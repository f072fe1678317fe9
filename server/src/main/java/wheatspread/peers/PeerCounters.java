package wheatspread.peers;

import java.util.EnumMap;
import java.util.Map;

/** Counts messages sent to and received from peers since the start, and dropped messages by reason. */
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

    /** Counts a message that did not fit in a datagram and was sent on a stream. */
    void recordOversized() {
        oversized++;
    }

    /** Counts a message that could not be sent; the failure detector handles the consequences. */
    void recordSendFailure() {
        sendFailures++;
    }

    /** Counts a message or stream that was dropped because of {@link InboundRateLimit} or the limit of open streams. */
    void recordOverRate() {
        overRate++;
    }

    void recordMalformed(MalformedMessageException.Reason reason) {
        malformed.merge(reason, 1L, Long::sum);
    }

    /** Returns the number of messages sent, including those that a {@link LinkFilter} dropped. */
    public long sent() {
        return sent;
    }

    /** Returns the number of bytes sent, without the headers of IP, UDP and TCP. */
    public long sentBytes() {
        return sentBytes;
    }

    /** Returns the number of messages and streams dropped because of {@link InboundRateLimit} or too many streams. */
    public long overRate() {
        return overRate;
    }

    /** Returns the number of messages dropped as malformed, for any reason. */
    public long malformed() {
        return malformed.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Returns the counters as lines of {@code name=value}; the names are part of the operators' interface. */
    public String text(String prefix) {
        StringBuilder text = new StringBuilder();
        appendLine(text, prefix + "sent", sent);
        appendLine(text, prefix + "sent_bytes", sentBytes);
        appendLine(text, prefix + "received", received);
        appendLine(text, prefix + "received_bytes", receivedBytes);
        appendLine(text, prefix + "large", oversized);
        appendLine(text, prefix + "unsent", sendFailures);
        appendLine(text, prefix + "over_rate", overRate);
        for (MalformedMessageException.Reason reason : MalformedMessageException.Reason.values()) {
            appendLine(text, prefix + "unread_" + reason.counterName(), malformed.getOrDefault(reason, 0L));
        }
        return text.toString();
    }

    private static void appendLine(StringBuilder text, String name, long value) {
        text.append(name).append('=').append(value).append('\n');
    }
}
