package wheatspread.core;

import java.util.function.Consumer;
import wheatspread.admission.AdmissionController;
import wheatspread.admission.Outcome;

/** The calls that runs wait for: made, given up in time, skipped, and their replies handed to the kernel. */
final class DependencyCalls {
    private final Clock clock;
    private final RecordsService records;
    private final Consumer<Consumer<AdmissionController>> events;
    private final RequestCounters counts;

    DependencyCalls(
            Clock clock,
            RecordsService records,
            Consumer<Consumer<AdmissionController>> events,
            RequestCounters counts) {
        this.clock = clock;
        this.records = records;
        this.events = events;
        this.counts = counts;
    }

    /** Makes the call that a run waits for, and gives it up after so many microseconds. */
    void make(Attempt one, long giveUpAfter, Kernel kernel) {
        drop(one);
        counts.calls++;
        long began = clock.nowMicros();
        one.callTimer = clock.after(giveUpAfter, () -> {
            drop(one);
            ended(one, Outcome.TIMED_OUT, began);
        });
        one.call = records.call(one.submission.job(), one.callBody, giveUpAfter, (outcome, reply) -> {
            one.callTimer.cancel();
            one.call = null;
            if (outcome == Outcome.OK) {
                goOn(one);
                kernel.callDone(one.submission.job(), reply);
            }
            ended(one, outcome, began);
        });
    }

    private void ended(Attempt one, Outcome outcome, long began) {
        long took = clock.nowMicros() - began;
        events.accept(m -> m.onCallCompleted(one.number, outcome, took));
    }

    void skip(Attempt one, Kernel kernel) {
        counts.skips++;
        kernel.skipCall(one.submission.job(), one.notice);
        goOn(one);
    }

    private static void goOn(Attempt one) {
        one.notice = 0;
        one.callBody = null;
    }

    /** Gives up the call in hand, if any; nothing more is heard of it. */
    static void drop(Attempt one) {
        if (one.call != null) {
            one.call.giveUp();
            one.call = null;
            one.callTimer.cancel();
        }
    }
}
