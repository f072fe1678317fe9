package wheatspread.core;

import java.util.ArrayList;
import java.util.List;

/**
 * One attempt in flight. An attempt is in flight after a front has read it until it is answered and its run, if
 * any, has ended. Owned by the core's thread.
 */
final class Attempt {
    /** The state of the attempt's run in the kernel. */
    private enum RunState {
        NOT_STARTED,
        RUNNING,
        SUSPENDED,
        ENDED
    }

    /** The progress of an unanswered attempt. */
    enum Phase {
        QUEUED,
        RUNNING,
        SUSPENDED,
        AWAITING_DEPENDENCY,
        /** The attempt waits for the result of another attempt's run. */
        JOINED
    }

    private final long id;
    private final InboundRequest request;
    private final boolean receivedAfterGrace;
    private final PendingDependencyCall dependencyCall = new PendingDependencyCall();
    private final List<Attempt> joiners = new ArrayList<>();

    private Reply reply;
    private Clock.Timer deadlineTimer;
    private RunState runState = RunState.NOT_STARTED;
    private boolean suspensionRequested;
    private boolean everSuspended;
    private boolean runUncertain;
    private IdempotencyTable.Entry keyEntry;
    private long joinedAtMicros;

    /** Creates an attempt; if {@code receivedAfterGrace}, it was read after the drain grace and must not run. */
    Attempt(long id, InboundRequest request, Reply reply, boolean receivedAfterGrace) {
        this.id = id;
        this.request = request;
        this.reply = reply;
        this.receivedAfterGrace = receivedAfterGrace;
    }

    /** Returns the id under which the admission controller knows the attempt. */
    long id() {
        return id;
    }

    InboundRequest request() {
        return request;
    }

    String job() {
        return request.job();
    }

    boolean receivedAfterGrace() {
        return receivedAfterGrace;
    }

    /** Returns the state of the dependency call of the attempt's run; never null. */
    PendingDependencyCall dependencyCall() {
        return dependencyCall;
    }

    // ---- the answer ----

    void setDeadlineTimer(Clock.Timer timer) {
        deadlineTimer = timer;
    }

    /** Returns whether the attempt no longer needs an answer: it was answered, or the client disconnected. */
    boolean answered() {
        return reply == null;
    }

    /** Marks the attempt as answered. Returns the receiver of the answer, or null if it was answered before. */
    Reply takeReply() {
        Reply pendingReply = reply;
        if (pendingReply != null) {
            reply = null;
            deadlineTimer.cancel();
        }
        return pendingReply;
    }

    // ---- the run ----

    boolean everRan() {
        return runState != RunState.NOT_STARTED;
    }

    boolean running() {
        return runState == RunState.RUNNING;
    }

    boolean suspended() {
        return runState == RunState.SUSPENDED;
    }

    /** Returns whether the kernel holds a run of the attempt, running or suspended. */
    boolean hasOpenRun() {
        return runState == RunState.RUNNING || runState == RunState.SUSPENDED;
    }

    /** Returns whether the run was ever suspended; such a run has begun, whatever the kernel reports later. */
    boolean everSuspended() {
        return everSuspended;
    }

    void runStarted() {
        runState = RunState.RUNNING;
    }

    void runResumed() {
        runState = RunState.RUNNING;
        suspensionRequested = false;
    }

    /**
     * Marks the suspension of the run as requested. Returns whether a suspend command must be sent to the kernel: false
     * if the run is not running, or if its suspension was requested before.
     */
    boolean requestSuspension() {
        if (!running() || suspensionRequested) {
            return false;
        }
        suspensionRequested = true;
        return true;
    }

    /** Records that the kernel stopped the run at the core's request. */
    void runStopped() {
        everSuspended = true;
    }

    /** Records that the stopped run may be resumed. */
    void runSuspended() {
        runState = RunState.SUSPENDED;
    }

    /** Records that the kernel did not start the run. */
    void runNotStarted() {
        runState = RunState.NOT_STARTED;
    }

    void runEnded() {
        runState = RunState.ENDED;
    }

    /** Records that a command for the run may have been lost, so that the kernel may never report on the run. */
    void markRunUncertain() {
        runUncertain = true;
    }

    /** Records that the kernel has reported on the run. */
    void markRunCertain() {
        runUncertain = false;
    }

    /** Returns whether the run is open and the kernel may never report on it. */
    boolean runUncertain() {
        return runUncertain && hasOpenRun();
    }

    // ---- the idempotency key, and shared results ----

    /** Returns the entry of the attempt's key, which the attempt owns or duplicates; null if it has no key. */
    IdempotencyTable.Entry keyEntry() {
        return keyEntry;
    }

    void setKeyEntry(IdempotencyTable.Entry entry) {
        keyEntry = entry;
    }

    boolean ownsKeyEntry() {
        return keyEntry != null && keyEntry.owner() == this;
    }

    /** Records the time at which the attempt joined the run of another attempt to share its result. */
    void markJoined(long nowMicros) {
        joinedAtMicros = nowMicros;
    }

    boolean joined() {
        return joinedAtMicros > 0;
    }

    /** Returns when the attempt joined the run of another attempt, in Unix microseconds; 0 if it did not. */
    long joinedAtMicros() {
        return joinedAtMicros;
    }

    void addJoiner(Attempt joiner) {
        joiners.add(joiner);
    }

    void removeJoiner(Attempt joiner) {
        joiners.remove(joiner);
    }

    /** Returns the attempts that wait for this attempt's result; a copy, since answering a joiner removes it. */
    List<Attempt> joiners() {
        return List.copyOf(joiners);
    }

    void clearJoiners() {
        joiners.clear();
    }

    /** Returns the progress of the attempt; throws {@link IllegalStateException} if its run has ended. */
    Phase phase() {
        if (joined()) {
            return Phase.JOINED;
        }
        if (dependencyCall.isAwaited()) {
            return Phase.AWAITING_DEPENDENCY;
        }
        return switch (runState) {
            case NOT_STARTED -> Phase.QUEUED;
            case RUNNING -> Phase.RUNNING;
            case SUSPENDED -> Phase.SUSPENDED;
            case ENDED -> throw new IllegalStateException("attempt " + id + " has no phase: its run has ended");
        };
    }
}
