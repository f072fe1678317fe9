package wheatspread.core;

import java.util.ArrayList;
import java.util.List;

/**
 * One attempt in flight, from the time it was read until both its answer is given and its run, if any, has ended.
 * Owned by the core's thread.
 */
final class Attempt {
    /** The state of its run in the kernel. */
    private enum RunState {
        NOT_STARTED,
        RUNNING,
        SUSPENDED,
        ENDED
    }

    /** How far an unanswered attempt has come. */
    enum Phase {
        QUEUED,
        RUNNING,
        SUSPENDED,
        AWAITING_DEPENDENCY,
        /** It waits for the result of another attempt's run. */
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
    private IdempotencyTable.Entry keyEntry;
    private long joinedAtMicros;

    /** {@code receivedAfterGrace}: it was read after the drain grace, and must not run. */
    Attempt(long id, InboundRequest request, Reply reply, boolean receivedAfterGrace) {
        this.id = id;
        this.request = request;
        this.reply = reply;
        this.receivedAfterGrace = receivedAfterGrace;
    }

    /** The id by which the admission controller knows it. */
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

    /** The dependency call that its run waits for, if any. */
    PendingDependencyCall dependencyCall() {
        return dependencyCall;
    }

    // ---- the answer ----

    void setDeadlineTimer(Clock.Timer timer) {
        deadlineTimer = timer;
    }

    /** Whether no answer is owed any more: it was given, or the client disconnected. */
    boolean answered() {
        return reply == null;
    }

    /** Marks the attempt as answered. Returns where the answer goes, or null if it was answered before. */
    Reply takeReply() {
        Reply taken = reply;
        if (taken != null) {
            reply = null;
            deadlineTimer.cancel();
        }
        return taken;
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

    /** Whether a run is in the kernel, running or suspended. */
    boolean hasOpenRun() {
        return runState == RunState.RUNNING || runState == RunState.SUSPENDED;
    }

    /** Whether its run was suspended at any time, and so has begun whatever the kernel reports later. */
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

    /** Returns whether the kernel is to be asked now to suspend the run; it is asked once for each suspension. */
    boolean requestSuspension() {
        if (!running() || suspensionRequested) {
            return false;
        }
        suspensionRequested = true;
        return true;
    }

    /** The kernel stopped the run at the core's request. */
    void runStopped() {
        everSuspended = true;
    }

    /** The stopped run may be resumed. */
    void runSuspended() {
        runState = RunState.SUSPENDED;
    }

    /** The kernel did not start the run. */
    void runNotStarted() {
        runState = RunState.NOT_STARTED;
    }

    void runEnded() {
        runState = RunState.ENDED;
    }

    // ---- its idempotency key, and shared results ----

    /** The key's entry that it owns or duplicates; null where it has no key. */
    IdempotencyTable.Entry keyEntry() {
        return keyEntry;
    }

    void setKeyEntry(IdempotencyTable.Entry entry) {
        keyEntry = entry;
    }

    boolean ownsKeyEntry() {
        return keyEntry != null && keyEntry.owner() == this;
    }

    /** Notes that it waits for, or takes, the result of another attempt's run from this time on. */
    void joinAt(long nowMicros) {
        joinedAtMicros = nowMicros;
    }

    boolean joined() {
        return joinedAtMicros > 0;
    }

    /** When it asked for the result of another attempt, in Unix microseconds; 0 if it did not. */
    long joinedAtMicros() {
        return joinedAtMicros;
    }

    void addJoiner(Attempt joiner) {
        joiners.add(joiner);
    }

    void removeJoiner(Attempt joiner) {
        joiners.remove(joiner);
    }

    /** The attempts that wait for this one's result; a copy, since answering one removes it. */
    List<Attempt> joiners() {
        return List.copyOf(joiners);
    }

    void clearJoiners() {
        joiners.clear();
    }

    /** How far it has come, as long as it is unanswered. */
    Phase phase() {
        if (joined()) {
            return Phase.JOINED;
        }
        if (dependencyCall.awaited()) {
            return Phase.AWAITING_DEPENDENCY;
        }
        return switch (runState) {
            case NOT_STARTED -> Phase.QUEUED;
            case RUNNING -> Phase.RUNNING;
            case SUSPENDED -> Phase.SUSPENDED;
            case ENDED -> throw new IllegalStateException("the end of a run answers its attempt");
        };
    }
}
