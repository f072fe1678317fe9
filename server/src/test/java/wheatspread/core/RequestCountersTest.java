package wheatspread.core;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests the names of the counters, which operators read in the log and over JSON-RPC. */
class RequestCountersTest {
    @Test
    void logFieldsKeepTheirNamesAndOrder() {
        RequestCounters counters = new RequestCounters();
        RequestCounters start = counters.copy();
        for (int i = 0; i < 9; i++) {
            counters.received();
        }
        counters.answered(0, Answer.Kind.SERVED);
        counters.answered(1, Answer.Kind.REJECTED);
        counters.answered(1, Answer.Kind.REJECTED);
        counters.answered(1, Answer.Kind.DEADLINE_EXCEEDED);
        counters.answered(1, Answer.Kind.CONFLICT);
        counters.answered(1, Answer.Kind.FAILED);
        counters.deadlineExceeded();
        counters.cancelled();
        counters.runStarted();
        counters.runResumed();
        counters.joined();
        counters.dependencyCallStarted();
        counters.dependencyCallSkipped();
        counters.attemptRepeated();
        Object[] expected = {
            "read",
            9L,
            "served",
            1L,
            "refused",
            2L,
            "failed",
            3L,
            "overdue",
            1L,
            "gone",
            1L,
            "runs",
            1L,
            "joins",
            1L,
            "calls",
            1L,
            "skips",
            1L,
            "resumed",
            1L,
            "repeated",
            1L
        };
        assertThat(counters.logFields()).containsExactly(expected);
        assertThat(counters.logFieldsSince(start)).containsExactly(expected);
        assertThat(counters.logFieldsSince(counters.copy())).doesNotContain(1L, 2L, 3L, 9L);
        assertThat(counters.answersByClass().get(0)).containsExactly(1, 0, 0);
        assertThat(counters.answersByClass().get(1)).containsExactly(0, 2, 3);
        assertThat(counters)
                .hasToString("read 9, served 1, refused 2, failed 3 (overdue 1), gone 1, runs 1, joins 1, calls 1,"
                        + " skips 1");
    }
}
