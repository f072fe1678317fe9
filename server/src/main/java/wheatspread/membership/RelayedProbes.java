package wheatspread.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheatspread.membership.Message.Body;

/** Probes that this member makes as a helper for others (SWIM's ping-req), until they are answered or time out. */
final class RelayedProbes {
    /** Beyond this number further requests are dropped; their senders ask several helpers. */
    private static final int MAX_RELAYED_PROBES = 256;

    private final MessageSender sender;
    private final Map<Long, RelayedProbe> probes = new LinkedHashMap<>();

    private record RelayedProbe(String requester, long requestNumber, long deadlineMicros) {}

    RelayedProbes(MessageSender sender) {
        this.sender = sender;
    }

    boolean hasCapacity() {
        return probes.size() < MAX_RELAYED_PROBES;
    }

    /** Probes the target of a request under this number. */
    void start(long number, String requester, Body.IndirectPing request, long deadlineMicros, long nowMicros) {
        probes.put(number, new RelayedProbe(requester, request.number(), deadlineMicros));
        sender.send(request.address(), new Body.Ping(number, request.target()), nowMicros);
    }

    /** Passes an answer on to the requester; returns whether it answers a relayed probe. */
    boolean onAck(long number, long nowMicros) {
        RelayedProbe probe = probes.remove(number);
        if (probe == null) {
            return false;
        }
        sender.send(probe.requester, new Body.Ack(probe.requestNumber), nowMicros);
        return true;
    }

    /** Sends a nack to the requesters of probes that timed out. */
    void expire(long nowMicros) {
        for (Map.Entry<Long, RelayedProbe> entry : List.copyOf(probes.entrySet())) {
            RelayedProbe probe = entry.getValue();
            if (nowMicros >= probe.deadlineMicros) {
                probes.remove(entry.getKey());
                sender.send(probe.requester, new Body.Nack(probe.requestNumber), nowMicros);
            }
        }
    }

    /** The earliest deadline; {@link Long#MAX_VALUE} while there is none. */
    long nextDeadlineMicros() {
        long next = Long.MAX_VALUE;
        for (RelayedProbe probe : probes.values()) {
            next = Math.min(next, probe.deadlineMicros);
        }
        return next;
    }
}
