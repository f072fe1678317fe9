package wheatspread.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import wheatspread.fleet.FleetPlan.Backoff;

/**
 * When a member that ended by itself may start again: after a pause that grows from end to end, spread so
 * that members which fell together don't come back together (exponential back-off with jitter), and not at
 * all once its ends are a crash loop. Each member has a count of its own, so a bad one stops no other. No
 * I/O; times are microseconds.
 */
public final class RestartBackoff {
    private static final int MOST_KEPT = 64;

    private final Backoff backoff;
    private final SplittableRandom random;
    private final Map<String, Ends> members = new HashMap<>();

    /** What is known of one member's ends. */
    static final class Ends {
        final Deque<Long> at = new ArrayDeque<>();
        int inARow;
        long notBefore;
        /** Until when it is held; -1 while it is not. */
        long heldUntil = -1;
    }

    RestartBackoff(Backoff backoff, long seed) {
        this.backoff = backoff;
        random = new SplittableRandom(seed);
    }

    Ends of(String name) {
        return members.computeIfAbsent(name, key -> new Ends());
    }

    /** Takes over what an earlier supervisor wrote down. */
    void restore(FleetState.Of member) {
        Ends ends = of(member.name());
        ends.at.addAll(member.ends());
        ends.inARow = member.endsInARow();
        ends.notBefore = member.notBefore();
        ends.heldUntil = member.heldUntil();
    }

    /** It ended after so long; returns whether that makes it a crash loop. */
    boolean ended(String name, long ranFor, long now) {
        Ends ends = of(name);
        ends.inARow = ranFor >= backoff.forgiven() ? 1 : ends.inARow + 1;
        ends.at.addLast(now);
        while (ends.at.size() > MOST_KEPT || !ends.at.isEmpty() && ends.at.peekFirst() < now - backoff.loopWithin()) {
            ends.at.removeFirst();
        }
        double pause = backoff.first() * Math.pow(backoff.factor(), Math.min(60, ends.inARow - 1));
        double spread = 1 + backoff.jitter() * (2 * random.nextDouble() - 1);
        ends.notBefore = now + (long) (Math.min(pause, backoff.longest()) * spread);
        if (ends.at.size() >= backoff.loopExits()) {
            ends.heldUntil = backoff.holdFor() == 0 ? Long.MAX_VALUE : now + backoff.holdFor();
            return true;
        }
        return false;
    }

    /** Whether it may start now. */
    boolean mayStart(String name, long now) {
        Ends ends = of(name);
        if (ends.heldUntil >= 0) {
            if (now < ends.heldUntil) {
                return false;
            }
            forgive(name); // the hold was its pause
        }
        return now >= ends.notBefore;
    }

    boolean held(String name, long now) {
        return of(name).heldUntil > now;
    }

    /** An operator started it, or it was told to run another build: its past does not count. */
    void forgive(String name) {
        members.remove(name);
    }
}
