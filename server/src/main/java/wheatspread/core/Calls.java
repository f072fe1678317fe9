package wheatspread.core;

import java.util.function.Consumer;
import wheatspread.admission.Admission;
import wheatspread.admission.Admission.Outcome;

/** The calls that runs wait for: made, given up in time, skipped, and their replies handed to the kernel. */
final class Calls {
    private final Clock clock;
    private final Records records;
    private final Consumer<Consumer<Admission>> events;
    private final Counts counts;

    Calls(Clock clock, Records records, Consumer<Consumer<Admission>> events, Counts counts) {
        this.clock = clock;
        this.records = records;
        this.events = events;
        this.counts = counts;
    }

    /** Makes the call that a run waits for, and gives it up after so many microseconds. */
    void make(Try one, long giveUpAfter, Kernel kernel) {
        drop(one);
        counts.calls++;
        long began = clock.now();
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

    private void ended(Try one, Outcome outcome, long began) {
        long took = clock.now() - began;
        events.accept(m -> m.called(one.number, outcome, took));
    }

    void skip(Try one, Kernel kernel) {
        counts.skips++;
        kernel.skipCall(one.submission.job(), one.notice);
        goOn(one);
    }

    private static void goOn(Try one) {
        one.notice = 0;
        one.callBody = null;
    }

    /** Gives up the call in hand, if any; nothing more is heard of it. */
    static void drop(Try one) {
        if (one.call != null) {
            one.call.giveUp();
            one.call = null;
            one.callTimer.cancel();
        }
    }
}
