package wheatspread.admission.sfq;

import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * All requests that were read and are not done, by id, with counts by state. Every change of state goes through {@link
 * #transition}, which keeps the counts consistent. The iteration order is that of arrival.
 */
final class InFlightRequests {
    private final double runningMemoryFactor;
    private final Map<Long, TrackedRequest> byId = new LinkedHashMap<>();
    private final Set<TrackedRequest> awaitingCall = new LinkedHashSet<>();
    private int[] heldByClass = new int[0];
    private int held;
    private int running;
    private int started;
    private double memoryKb;
    private double heldMemoryKb;
    private double heldObjectiveMicros;

    InFlightRequests(ReloadableSettings settings) {
        runningMemoryFactor = settings.limits().runningMemoryFactor();
        resizeClasses(settings.classCount());
    }

    /** Extends the per-class counts after a reload has added request classes. */
    void resizeClasses(int classCount) {
        heldByClass = Arrays.copyOf(heldByClass, classCount);
    }

    void add(TrackedRequest tracked) {
        transition(tracked, RequestState.HELD);
        byId.put(tracked.id(), tracked);
    }

    /** Returns the request with this id, or null if it is not in flight. */
    TrackedRequest get(long id) {
        return byId.get(id);
    }

    boolean contains(TrackedRequest tracked) {
        return byId.get(tracked.id()) == tracked;
    }

    void remove(TrackedRequest tracked) {
        byId.remove(tracked.id());
    }

    Collection<TrackedRequest> requests() {
        return byId.values();
    }

    Set<TrackedRequest> awaitingCall() {
        return awaitingCall;
    }

    void transition(TrackedRequest tracked, RequestState to) {
        RequestState from = tracked.state;
        tracked.state = to;
        memoryKb += memoryKb(tracked, to) - memoryKb(tracked, from);
        int heldChange = countChange(to, from, RequestState.HELD);
        held += heldChange;
        heldMemoryKb += heldChange * tracked.request.heldKb();
        heldObjectiveMicros += heldChange * (tracked.objectiveMicros - tracked.arrivalMicros);
        heldByClass[tracked.request.requestClass()] += heldChange;
        running += countChange(to, from, RequestState.RUNNING);
        started += (to.isStarted() ? 1 : 0) - (from.isStarted() ? 1 : 0);
        if (to == RequestState.AWAITING_CALL) {
            awaitingCall.add(tracked);
        } else if (to != RequestState.JOINING && from == RequestState.AWAITING_CALL) {
            awaitingCall.remove(tracked);
        }
        if (to == RequestState.JOINING || from == RequestState.JOINING) {
            TrackedRequest original = byId.get(tracked.request.originalId());
            if (original != null) {
                original.joiners += countChange(to, from, RequestState.JOINING);
            }
        }
    }

    private static int countChange(RequestState to, RequestState from, RequestState counted) {
        return (to == counted ? 1 : 0) - (from == counted ? 1 : 0);
    }

    private double memoryKb(TrackedRequest tracked, RequestState state) {
        double factor = state == RequestState.DONE ? 0 : state == RequestState.HELD ? 1 : runningMemoryFactor;
        return tracked.request.heldKb() * factor;
    }

    int heldCount() {
        return held;
    }

    int heldOfClass(int requestClass) {
        return heldByClass[requestClass];
    }

    int classCount() {
        return heldByClass.length;
    }

    int runningCount() {
        return running;
    }

    /** Returns the number of requests that run, wait to make a call or wait for the reply to a call. */
    int startedCount() {
        return started;
    }

    /**
     * Returns the memory of all requests in kilobytes; a started or joining request counts with its held size times the
     * running factor.
     */
    double memoryKb() {
        return memoryKb;
    }

    /** Returns the memory of held requests in kilobytes. */
    double heldMemoryKb() {
        return heldMemoryKb;
    }

    /** Returns the sum over held requests of the time from arrival to latency objective. */
    double heldObjectiveMicros() {
        return heldObjectiveMicros;
    }
}
