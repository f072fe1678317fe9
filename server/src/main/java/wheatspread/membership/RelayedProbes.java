package wheatspread.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheatspread.membership.Message.Body;

/** The probes that this member sends as a helper for others (SWIM's ping-req), until they are answered or time out. */
final class RelayedProbes {
    /** Requests beyond this number are dropped; their senders also send them to other helpers. */
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

    /** Sends a probe with this number to the target of a request. */
    void start(long number, String requester, Body.IndirectPing request, long deadlineMicros, long nowMicros) {
        probes.put(number, new RelayedProbe(requester, request.number(), deadlineMicros));
        sender.send(request.address(), new Body.Ping(number, request.target()), nowMicros);
    }

    /** Forwards an answer to the requester; returns whether the number belongs to a relayed probe. */
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

    /** Returns the earliest deadline; {@link Long#MAX_VALUE} if there are no relayed probes. */
    long nextDeadlineMicros() {
        long next = Long.MAX_VALUE;
        for (RelayedProbe probe : probes.values()) {
            next = Math.min(next, probe.deadlineMicros);
        }
        return next;
    }
}
