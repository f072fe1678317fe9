package wheatspread.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the attempts of this process and how they ended. The log names of the counters are read by operators, in
 * the log and over JSON-RPC, and must not change. Owned by the core's thread.
 */
public final class RequestCounters {
    /** The counters in the order of the log fields, each with its log name. */
    private enum Counter {
        RECEIVED("read"),
        SERVED("served"),
        REJECTED("refused"),
        FAILED("failed"),
        /** Attempts failed by the core's deadline timer; {@link #FAILED} includes them. */
        DEADLINE_EXCEEDED("overdue"),
        CANCELLED("gone"),
        RUNS("runs"),
        JOINS("joins"),
        DEPENDENCY_CALLS("calls"),
        DEPENDENCY_SKIPS("skips"),
        RESUMED("resumed"),
        /** Attempts whose id is that of another attempt; {@link #FAILED} includes them. */
        REPEATED("repeated");

        private final String logName;

        Counter(String logName) {
            this.logName = logName;
        }
    }

    /** The counts of final answers of a request class. */
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
    /** Keyed by the class's index in the settings, which bounds the number of entries. */
    private final Map<Integer, ClassAnswers> answersByClass = new TreeMap<>();

    /** Counts an attempt that a front read. */
    void received() {
        add(Counter.RECEIVED);
    }

    /** Counts a final answer to an attempt of the class with this index in the settings. */
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

    /** Counts an unanswered attempt whose client disconnected or cancelled it. */
    void cancelled() {
        add(Counter.CANCELLED);
    }

    /** Counts an attempt that the core's deadline timer failed. */
    void deadlineExceeded() {
        add(Counter.DEADLINE_EXCEEDED);
    }

    /** Counts a run that was passed to the kernel. */
    void runStarted() {
        add(Counter.RUNS);
    }

    /** Counts a suspended run that was resumed. */
    void runResumed() {
        add(Counter.RESUMED);
    }

    /** Counts an attempt that failed because its id is that of another attempt. */
    void attemptRepeated() {
        add(Counter.REPEATED);
    }

    /** Counts an attempt that joined the run of another attempt to share its result. */
    void joined() {
        add(Counter.JOINS);
    }

    /** Counts a dependency call that was started. */
    void dependencyCallStarted() {
        add(Counter.DEPENDENCY_CALLS);
    }

    /** Counts a run that continued without its dependency call. */
    void dependencyCallSkipped() {
        add(Counter.DEPENDENCY_SKIPS);
    }

    private void add(Counter counter) {
        values[counter.ordinal()]++;
    }

    private long value(Counter counter) {
        return values[counter.ordinal()];
    }

    /** Returns the numbers of served, rejected and failed attempts, by the index of each class with an answer. */
    public Map<Integer, long[]> answersByClass() {
        Map<Integer, long[]> copy = new TreeMap<>();
        answersByClass.forEach((index, answers) -> copy.put(index, answers.toArray()));
        return copy;
    }

    /** Returns the number of runs passed to the kernel since the start of the process. */
    public long runs() {
        return value(Counter.RUNS);
    }

    /** Returns a copy, which later events do not change. */
    RequestCounters copy() {
        RequestCounters copy = new RequestCounters();
        System.arraycopy(values, 0, copy.values, 0, values.length);
        answersByClass.forEach((index, answers) -> copy.answersByClass.put(index, answers.copy()));
        return copy;
    }

    /** Returns the increments since the copy {@code earlier} was made, as alternating log field names and values. */
    public Object[] logFieldsSince(RequestCounters earlier) {
        List<Object> fields = new ArrayList<>();
        for (Counter counter : Counter.values()) {
            fields.add(counter.logName);
            fields.add(value(counter) - earlier.value(counter));
        }
        return fields.toArray();
    }

    /** Returns all counters as alternating log field names and values. */
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
