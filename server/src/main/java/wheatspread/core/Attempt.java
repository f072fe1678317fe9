package wheatspread.core;

import java.util.ArrayList;
import java.util.List;

/** One try in hand, from its reading until both its answer is given and its run, if any, has ended. */
final class Attempt {
    /** Where its run stands. */
    enum Run {
        NONE,
        ACTIVE,
        PAUSED,
        ENDED
    }

    /** The number by which the module knows it. */
    final long number;

    final InboundRequest submission;
    Reply reply;
    /** It was read over the grace after the notice to leave, and must not run. */
    boolean late;

    Run run = Run.NONE;
    /** The kernel has been asked to stop its run. */
    boolean stopAsked;
    /** Its run was paused at some time, so that it has begun whatever the kernel says later. */
    boolean paused;

    Clock.Timer dueTimer;
    /** The key's entry it stands in or repeats; null where it has no key. */
    IdempotencyTable.Entry entry;
    /** When it asked for the result of another try, in Unix microseconds; 0 if it did not. */
    long joinedAt;

    /** The notice of the call that its run waits for, and the call's body; 0 if it waits for none. */
    long notice;

    byte[] callBody;
    RecordsService.Call call;
    Clock.Timer callTimer;

    /** The tries that wait for this one's result. */
    final List<Attempt> joiners = new ArrayList<>();

    Attempt(long number, InboundRequest submission, Reply reply) {
        this.number = number;
        this.submission = submission;
        this.reply = reply;
    }

    boolean answered() {
        return reply == null;
    }

    boolean everRan() {
        return run != Run.NONE;
    }
}
