package wheatspread.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The tries in hand, by the module's number and by the name that kernel and records know. */
final class RequestTable {
    private final Map<Long, Try> byNumber = new LinkedHashMap<>();
    private final Map<String, Try> byJob = new HashMap<>();
    private long lastNumber;

    Try add(Submission submission, Reply reply) {
        Try one = new Try(++lastNumber, submission, reply);
        byNumber.put(one.number, one);
        byJob.put(submission.job(), one);
        return one;
    }

    Try byNumber(long number) {
        return byNumber.get(number);
    }

    Try byJob(String job) {
        return byJob.get(job);
    }

    void remove(Try one) {
        if (byNumber.remove(one.number) != null) {
            byJob.remove(one.submission.job());
        }
    }

    int size() {
        return byNumber.size();
    }

    /** Those that still owe an answer; a copy, since answering takes tries out. */
    List<Try> unanswered() {
        List<Try> open = new ArrayList<>(byNumber.values());
        open.removeIf(Try::answered);
        return open;
    }
}
