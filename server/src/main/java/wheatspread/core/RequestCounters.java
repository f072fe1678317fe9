package wheatspread.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts what became of the attempts of this process. The names of the counters are read by operators, in the log
 * and over JSON-RPC, and stay as they are. Owned by the core's thread.
 */
public final class RequestCounters {
    /** What is counted, in the order of the log fields, with its name there. */
    private enum Counter {
        RECEIVED("read"),
        SERVED("served"),
        REJECTED("refused"),
        FAILED("failed"),
        /** Failed by the core's own deadline timer; these are among {@link #FAILED} too. */
        DEADLINE_EXCEEDED("overdue"),
        CANCELLED("gone"),
        RUNS("runs"),
        JOINS("joins"),
        DEPENDENCY_CALLS("calls"),
        DEPENDENCY_SKIPS("skips"),
        RESUMED("resumed");

        private final String logName;

        Counter(String logName) {
            this.logName = logName;
        }
    }

    /** The final answers of one request class. */
    private static final class ClassAnswers {
        private long served;
        private long rejected;
        private long failed;

        private ClassAnswers copy() {
            ClassAnswers copy = new ClassAnswers();
            copy.served = served;
            copy.rejected = rejected;
            copy.failed = failed;
            return copy;
        }

        private long[] toArray() {
            return new long[] {served, rejected, failed};
        }
    }

    private final long[] values = new long[Counter.values().length];
    /** By the class's index in the settings, so it holds no more entries than the settings have classes. */
    private final Map<Integer, ClassAnswers> answersByClass = new TreeMap<>();

    /** An attempt was read by a front. */
    void received() {
        add(Counter.RECEIVED);
    }

    /** A final answer was given to an attempt of the class with this index in the settings. */
    void answered(int requestClass, Answer.Kind kind) {
        ClassAnswers answers = answersByClass.computeIfAbsent(requestClass, index -> new ClassAnswers());
        switch (kind) {
            case SERVED -> {
                add(Counter.SERVED);
                answers.served++;
            }
            case REJECTED -> {
                add(Counter.REJECTED);
                answers.rejected++;
            }
            default -> {
                add(Counter.FAILED);
                answers.failed++;
            }
        }
    }

    /** The client of an unanswered attempt disconnected or cancelled it. */
    void cancelled() {
        add(Counter.CANCELLED);
    }

    /** The core's deadline timer failed an attempt. */
    void deadlineExceeded() {
        add(Counter.DEADLINE_EXCEEDED);
    }

    /** A run was handed to the kernel. */
    void runStarted() {
        add(Counter.RUNS);
    }

    /** A suspended run was resumed. */
    void runResumed() {
        add(Counter.RESUMED);
    }

    /** An attempt waits for, or takes, the result of another one. */
    void joined() {
        add(Counter.JOINS);
    }

    /** A dependency call was started. */
    void dependencyCallStarted() {
        add(Counter.DEPENDENCY_CALLS);
    }

    /** A run continued without its dependency call. */
    void dependencyCallSkipped() {
        add(Counter.DEPENDENCY_SKIPS);
    }

    private void add(Counter counter) {
        values[counter.ordinal()]++;
    }

    private long value(Counter counter) {
        return values[counter.ordinal()];
    }

    /** The final answers of each class that has had one, by its index: served, rejected and failed. */
    public Map<Integer, long[]> answersByClass() {
        Map<Integer, long[]> copy = new TreeMap<>();
        answersByClass.forEach((index, answers) -> copy.put(index, answers.toArray()));
        return copy;
    }

    /** Runs handed to the kernel since the start of the process. */
    public long runs() {
        return value(Counter.RUNS);
    }

    /** A copy that does not change any more. */
    RequestCounters copy() {
        RequestCounters copy = new RequestCounters();
        System.arraycopy(values, 0, copy.values, 0, values.length);
        answersByClass.forEach((index, answers) -> copy.answersByClass.put(index, answers.copy()));
        return copy;
    }

    /** What was counted since the copy {@code earlier} was made, as log fields: names and values in turns. */
    public Object[] logFieldsSince(RequestCounters earlier) {
        List<Object> fields = new ArrayList<>();
        for (Counter counter : Counter.values()) {
            fields.add(counter.logName);
            fields.add(value(counter) - earlier.value(counter));
        }
        return fields.toArray();
    }

    /** All counters as log fields: names and values in turns. */
    public Object[] logFields() {
        return logFieldsSince(new RequestCounters());
    }

    @Override
    public String toString() {
        return "read " + value(Counter.RECEIVED)
                + ", served " + value(Counter.SERVED)
                + ", refused " + value(Counter.REJECTED)
                + ", failed " + value(Counter.FAILED)
                + " (overdue " + value(Counter.DEADLINE_EXCEEDED) + ")"
                + ", gone " + value(Counter.CANCELLED)
                + ", runs " + value(Counter.RUNS)
                + ", joins " + value(Counter.JOINS)
                + ", calls " + value(Counter.DEPENDENCY_CALLS)
                + ", skips " + value(Counter.DEPENDENCY_SKIPS);
    }
}
