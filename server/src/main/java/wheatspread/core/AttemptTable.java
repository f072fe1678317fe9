package wheatspread.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The tries in hand, by the module's number and by the name that kernel and records know. */
final class AttemptTable {
    private final Map<Long, Attempt> byNumber = new LinkedHashMap<>();
    private final Map<String, Attempt> byJob = new HashMap<>();
    private long lastNumber;

    Attempt add(InboundRequest submission, Reply reply) {
        Attempt one = new Attempt(++lastNumber, submission, reply);
        byNumber.put(one.number, one);
        byJob.put(submission.job(), one);
        return one;
    }

    Attempt byNumber(long number) {
        return byNumber.get(number);
    }

    Attempt byJob(String job) {
        return byJob.get(job);
    }

    void remove(Attempt one) {
        if (byNumber.remove(one.number) != null) {
            byJob.remove(one.submission.job());
        }
    }

    int size() {
        return byNumber.size();
    }

    /** Those that still owe an answer; a copy, since answering takes tries out. */
    List<Attempt> unanswered() {
        List<Attempt> open = new ArrayList<>(byNumber.values());
        open.removeIf(Attempt::answered);
        return open;
    }
}
