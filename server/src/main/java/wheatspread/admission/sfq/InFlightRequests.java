package wheatspread.admission.sfq;

import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * All requests that were read and are not done, by id, with counts by state. Every change of state goes through
 * {@link #transition}, which keeps the counts true. Iteration is in order of arrival.
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

    /** Makes room for classes that a reload added. */
    void resizeClasses(int classCount) {
        heldByClass = Arrays.copyOf(heldByClass, classCount);
    }

    /** Tracks a request that arrived. */
    void add(TrackedRequest tracked) {
        transition(tracked, RequestState.HELD);
        byId.put(tracked.id(), tracked);
    }

    /** The request with this id, or null. */
    TrackedRequest get(long id) {
        return byId.get(id);
    }

    boolean contains(TrackedRequest tracked) {
        return byId.get(tracked.id()) == tracked;
    }

    void remove(TrackedRequest tracked) {
        byId.remove(tracked.id());
    }

    Collection<TrackedRequest> all() {
        return byId.values();
    }

    Set<TrackedRequest> awaitingCall() {
        return awaitingCall;
    }

    void transition(TrackedRequest tracked, RequestState to) {
        RequestState from = tracked.state;
        tracked.state = to;
        memoryKb += memoryKb(tracked, to) - memoryKb(tracked, from);
        int heldChange = change(to, from, RequestState.HELD);
        held += heldChange;
        heldMemoryKb += heldChange * tracked.request.heldKb();
        heldObjectiveMicros += heldChange * (tracked.objectiveMicros - tracked.arrivalMicros);
        heldByClass[tracked.request.requestClass()] += heldChange;
        running += change(to, from, RequestState.RUNNING);
        started += (to.isStarted() ? 1 : 0) - (from.isStarted() ? 1 : 0);
        if (to == RequestState.AWAITING_CALL) {
            awaitingCall.add(tracked);
        } else if (to != RequestState.JOINING && from == RequestState.AWAITING_CALL) {
            awaitingCall.remove(tracked);
        }
        if (to == RequestState.JOINING || from == RequestState.JOINING) {
            TrackedRequest original = byId.get(tracked.request.duplicateOf());
            if (original != null) {
                original.joiners += change(to, from, RequestState.JOINING);
            }
        }
    }

    private static int change(RequestState to, RequestState from, RequestState counted) {
        return (to == counted ? 1 : 0) - (from == counted ? 1 : 0);
    }

    private double memoryKb(TrackedRequest tracked, RequestState state) {
        double factor = state == RequestState.DONE ? 0 : state == RequestState.HELD ? 1 : runningMemoryFactor;
        return tracked.request.heldKb() * factor;
    }

    int held() {
        return held;
    }

    int heldOfClass(int requestClass) {
        return heldByClass[requestClass];
    }

    int classCount() {
        return heldByClass.length;
    }

    int running() {
        return running;
    }

    /** Requests that run, wait to call or wait for the reply to a call. */
    int started() {
        return started;
    }

    /** Memory that all requests take; a started or joining one takes the running factor times its held size. */
    double memoryKb() {
        return memoryKb;
    }

    /** Memory that held requests take. */
    double heldMemoryKb() {
        return heldMemoryKb;
    }

    /** The sum over held requests of the time from arrival to objective. */
    double heldObjectiveMicros() {
        return heldObjectiveMicros;
    }
}
