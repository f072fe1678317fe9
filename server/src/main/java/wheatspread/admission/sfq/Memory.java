package wheatspread.admission.sfq;

import java.util.LinkedHashMap;
import java.util.Map;
import wheatspread.admission.AdmissionSettings;
import wheatspread.admission.Idempotency;

/** The one memory that held and running requests and kept keys share. */
abstract class Memory extends RequestsInHand {
    private static final double FOR_RUNS = 0.8; // what runs may fill; the rest is room for arrivals
    private static final double FULL = 0.95; // above it held requests are pushed out

    private final Map<Long, Long> keys = new LinkedHashMap<>();

    Memory(AdmissionSettings settings) {
        super(settings);
    }

    /** Keeps the key of a request; false where there is no room for it. */
    boolean pin(Job job, boolean must) {
        if (used() + limits.idempotencyKeyKb() > limits.memoryKb() * (must ? FULL : FOR_RUNS)) {
            return false;
        }
        long until = job.kind.idempotency() == Idempotency.IDEMPOTENCY_KEY
                ? job.arrival
                        + Math.max(job.kind.idempotencyWindowMicros(), job.kind.deadlineMicros())
                        + limits.answerSlackMicros()
                : job.due + settings.cacheTtlMicros();
        actions.retainKey(job.id(), until - now);
        keys.put(job.id(), until);
        job.pinned = true;
        return true;
    }

    void unpin(Job job) {
        if (job.pinned) {
            actions.releaseKey(job.id());
            keys.remove(job.id());
        }
    }

    /** A read that ended well serves others for a while. */
    void keepAnswer(Job job, boolean well) {
        if (job.pinned && job.mayRunAgain()) {
            keys.put(job.id(), well ? now + settings.cacheTtlMicros() : now);
        }
    }

    void dropOldKeys() {
        keys.entrySet().removeIf(entry -> {
            if (entry.getValue() < now) {
                actions.releaseKey(entry.getKey());
            }
            return entry.getValue() < now;
        });
    }

    private double used() {
        return usedKb + keys.size() * limits.idempotencyKeyKb();
    }

    boolean memoryFull() {
        return used() > limits.memoryKb() * FULL;
    }

    /** A hold that filled the memory would keep all of itself from running. */
    boolean crowdedByHold() {
        int wanted = Math.min(held, Math.max(0, settings.cores() - begun));
        double forCores = held <= 1 ? 0 : wanted * (limits.runningMemoryFactor() - 1) * heldKb / held;
        return used() + forCores > limits.memoryKb() * FULL;
    }

    boolean memoryToRun(Job job) {
        double more = job.request.heldKb() * (limits.runningMemoryFactor() - 1);
        double share = begun < settings.cores() ? FULL : FOR_RUNS;
        return used() + more <= limits.memoryKb() * share;
    }
}
