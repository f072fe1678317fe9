package wheatspread.admission.sfq;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import wheatspread.admission.AdmissionController.Actions;

/**
 * Chooses the held requests that are rejected and the advice that their clients get. When a bound on memory or on the
 * held queue is exceeded, the flow with the largest lead loses the newest of its requests with the least weight. Under
 * high pressure clients are asked not to retry, and to stay away for a random time between one and two thirds of the
 * maximum retry-after, so that they do not return at the same time.
 */
final class LoadShedder {
    private final ReloadableSettings settings;
    private final DecisionClock clock;
    private final FairQueue fairQueue;
    private final RetainedKeys keys;
    private final UnstartedRequestRemover unstartedRemover;
    private final LoadPressure pressure;
    private final SplittableRandom random;
    private final Set<Long> rejectedInBatch = new HashSet<>();

    LoadShedder(
            ReloadableSettings settings,
            DecisionClock clock,
            FairQueue fairQueue,
            RetainedKeys keys,
            UnstartedRequestRemover unstartedRemover,
            LoadPressure pressure,
            long seed) {
        this.settings = settings;
        this.clock = clock;
        this.fairQueue = fairQueue;
        this.keys = keys;
        this.unstartedRemover = unstartedRemover;
        this.pressure = pressure;
        random = new SplittableRandom(seed);
    }

    /** Sheds held requests until the memory suffices to start a held request on every core that has no run. */
    void shedForMemory(MemoryBudget memory, Actions actions) {
        while (fairQueue.peek() != null && memory.isHeldMemoryExceeded()) {
            shedRequest(actions);
        }
    }

    /** Sheds held requests until their expected waiting time is within its bound. */
    void shedForDelay(HeldQueueBound heldQueueBound, Actions actions) {
        while (fairQueue.peek() != null && heldQueueBound.isExceeded()) {
            shedRequest(actions);
        }
    }

    private void shedRequest(Actions actions) {
        reject(fairQueue.flowWithLargestLead(clock.nowMicros()).lowestWeightRequest(), false, actions);
    }

    /** Rejects a request that never ran and ends its tracking. */
    void reject(TrackedRequest tracked, boolean doNotRetry, Actions actions) {
        pressure.recordRejection();
        boolean underPressure = pressure.isHigh();
        long retryAfterMicros = underPressure ? randomRetryAfterMicros() : 0;
        actions.reject(tracked.id(), retryAfterMicros, doNotRetry || underPressure);
        rejectedInBatch.add(tracked.id());
        keys.release(tracked, actions);
        unstartedRemover.remove(tracked);
    }

    private long randomRetryAfterMicros() {
        long maxMicros = settings.current().clients().maxRetryAfterMicros();
        return (long) (maxMicros * (1 + random.nextDouble()) / 3);
    }

    /** Returns whether this request was rejected in the current batch, so that a duplicate cannot join the request. */
    boolean wasRejectedInBatch(long id) {
        return rejectedInBatch.contains(id);
    }

    void endBatch() {
        rejectedInBatch.clear();
    }
}
