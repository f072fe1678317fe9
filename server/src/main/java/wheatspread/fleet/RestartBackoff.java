package wheatspread.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import wheatspread.fleet.FleetPlan.BackoffPolicy;

/**
 * When an instance that exited by itself may start again: exponential backoff with jitter, and a hold for crash
 * loops.
 *
 * <p>Rule: the delay after the n-th exit in a row is {@code min(initialDelay * multiplier^(n-1), maxDelay)}, spread by
 * the jitter so that instances which exited together do not come back together. An instance that ran for
 * {@code resetAfter} begins again with n = 1. {@code crashLoopExits} exits within {@code crashLoopWindow} are a crash
 * loop, and the instance is held. Each instance has a history of its own, so that a bad one delays no other.
 *
 * <p>It does no I/O; times are Unix microseconds.
 */
public final class RestartBackoff {
    /** How many exits of one instance are kept. The settings allow a crash loop of 60 exits at most. */
    private static final int MAX_EXIT_TIMES = 64;
    /** Bounds the exponent, so that the delay stays a finite number; every maximum is reached before. */
    private static final int MAX_EXPONENT = 60;
    /** An instance that is not held. */
    private static final long NOT_HELD = -1;

    private final BackoffPolicy policy;
    private final SplittableRandom random;
    private final Map<String, ExitHistory> histories = new HashMap<>();

    /** What is known of one instance's exits. */
    static final class ExitHistory {
        /** The exits within the crash loop window, the oldest first. */
        final Deque<Long> exitTimesMicros = new ArrayDeque<>();

        int consecutiveExits;
        long nextStartMicros;
        /** Until when it is held; {@link #NOT_HELD} while it is not, {@link Long#MAX_VALUE} without an end. */
        long heldUntilMicros = NOT_HELD;
    }

    /** {@code seed} is that of the jitter. */
    RestartBackoff(BackoffPolicy policy, long seed) {
        this.policy = policy;
        random = new SplittableRandom(seed);
    }

    ExitHistory historyOf(String name) {
        return histories.computeIfAbsent(name, key -> new ExitHistory());
    }

    /** Takes over what an earlier supervisor recorded. */
    void restore(FleetState.InstanceRecord instance) {
        ExitHistory history = historyOf(instance.name());
        history.exitTimesMicros.addAll(instance.exitTimesMicros());
        history.consecutiveExits = instance.consecutiveExits();
        history.nextStartMicros = instance.nextStartMicros();
        history.heldUntilMicros = instance.heldUntilMicros();
    }

    /** An instance exited after {@code uptimeMicros}. Returns whether that makes it a crash loop. */
    boolean recordExit(String name, long uptimeMicros, long nowMicros) {
        ExitHistory history = historyOf(name);
        history.consecutiveExits = uptimeMicros >= policy.resetAfterMicros() ? 1 : history.consecutiveExits + 1;
        history.exitTimesMicros.addLast(nowMicros);
        dropOldExits(history, nowMicros);
        history.nextStartMicros = nowMicros + delayMicros(history.consecutiveExits);
        if (history.exitTimesMicros.size() < policy.crashLoopExits()) {
            return false;
        }
        boolean holdWithoutEnd = policy.crashLoopHoldMicros() == 0;
        history.heldUntilMicros = holdWithoutEnd ? Long.MAX_VALUE : nowMicros + policy.crashLoopHoldMicros();
        return true;
    }

    private void dropOldExits(ExitHistory history, long nowMicros) {
        Deque<Long> exits = history.exitTimesMicros;
        long windowStartMicros = nowMicros - policy.crashLoopWindowMicros();
        while (exits.size() > MAX_EXIT_TIMES || !exits.isEmpty() && exits.peekFirst() < windowStartMicros) {
            exits.removeFirst();
        }
    }

    private long delayMicros(int consecutiveExits) {
        int exponent = Math.min(MAX_EXPONENT, consecutiveExits - 1);
        double delayMicros = policy.initialDelayMicros() * Math.pow(policy.multiplier(), exponent);
        double jitter = 1 + policy.jitterShare() * (2 * random.nextDouble() - 1);
        return (long) (Math.min(delayMicros, policy.maxDelayMicros()) * jitter);
    }

    /** Whether it may start now. The end of a hold resets its history: the hold was its delay. */
    boolean mayStart(String name, long nowMicros) {
        ExitHistory history = historyOf(name);
        if (history.heldUntilMicros < 0) {
            return nowMicros >= history.nextStartMicros;
        }
        if (nowMicros < history.heldUntilMicros) {
            return false;
        }
        reset(name);
        return nowMicros >= history.nextStartMicros;
    }

    /** Whether it is held for a crash loop. */
    boolean isHeld(String name, long nowMicros) {
        return historyOf(name).heldUntilMicros > nowMicros;
    }

    /** Forgets its exits: an operator started it, or it is to run another build. */
    void reset(String name) {
        histories.remove(name);
    }
}
