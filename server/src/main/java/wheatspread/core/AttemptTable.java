package wheatspread.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The attempts in flight, indexed by the admission controller's id and by the job name that the kernel and the
 * records service use. Iterates in the order of arrival. {@link RequestLifecycle} limits the number of entries.
 */
final class AttemptTable {
    private final Map<Long, Attempt> byId = new LinkedHashMap<>();
    private final Map<String, Attempt> byJob = new HashMap<>();
    private long lastId;

    /** Adds an attempt under the next id. Ids are never reused. */
    Attempt add(InboundRequest request, Reply reply, boolean receivedAfterGrace) {
        Attempt attempt = new Attempt(++lastId, request, reply, receivedAfterGrace);
        byId.put(attempt.id(), attempt);
        byJob.put(attempt.job(), attempt);
        return attempt;
    }

    /** Returns the attempt with this id; null if it is not in flight. */
    Attempt byId(long id) {
        return byId.get(id);
    }

    /** Returns the attempt with this job name; null if none is in flight. */
    Attempt byJob(String job) {
        return byJob.get(job);
    }

    void remove(Attempt attempt) {
        if (byId.remove(attempt.id()) != null) {
            byJob.remove(attempt.job());
        }
    }

    int size() {
        return byId.size();
    }

    /** Returns the attempts without an answer; a copy, since answering removes attempts. */
    List<Attempt> unanswered() {
        List<Attempt> unanswered = new ArrayList<>(byId.values());
        unanswered.removeIf(Attempt::answered);
        return unanswered;
    }
}
