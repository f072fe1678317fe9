package wheatspread.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import wheatspread.fleet.FleetPlan.BackoffPolicy;

/**
 * Decides when an instance that exited unexpectedly may be restarted: exponential backoff with jitter, and a hold for
 * crash loops.
 *
 * <p>The delay after the n-th consecutive exit is {@code min(initialDelay * multiplier^(n-1), maxDelay)}, with jitter
 * so that instances that exited at the same time are not restarted at the same time. After an instance has run for
 * {@code resetAfter}, n is 1 again. If an instance exits {@code crashLoopExits} times within {@code crashLoopWindow},
 * it is in a crash loop and is held. Each instance has its own history, so a failing instance does not delay the
 * others.
 *
 * <p>The class does no I/O; times are Unix microseconds. One thread makes all calls.
 */
public final class RestartBackoff {
    /** The number of exits kept for one instance. The settings limit {@code crashLoopExits} to 60. */
    private static final int MAX_EXIT_TIMES = 64;
    /** Keeps the delay finite; every configurable maximum delay is reached with a smaller exponent. */
    private static final int MAX_EXPONENT = 60;
    /** The value of {@link ExitHistory#heldUntilMicros} for an instance that is not held. */
    private static final long NOT_HELD = -1;

    private final BackoffPolicy policy;
    private final SplittableRandom random;
    private final Map<String, ExitHistory> histories = new HashMap<>();

    /** The recent exits of one instance, and the restart delay that follows from them. */
    static final class ExitHistory {
        /** The times of the exits within the crash loop window, in ascending order. */
        final Deque<Long> exitTimesMicros = new ArrayDeque<>();

        int consecutiveExits;
        long nextStartMicros;
        /** The end of the hold; {@link #NOT_HELD} if not held, {@link Long#MAX_VALUE} if held without a time limit. */
        long heldUntilMicros = NOT_HELD;
    }

    /** Creates an empty history; {@code seed} seeds the jitter. */
    RestartBackoff(BackoffPolicy policy, long seed) {
        this.policy = policy;
        random = new SplittableRandom(seed);
    }

    /** Returns the history of an instance, which is created if it does not exist. */
    ExitHistory historyOf(String name) {
        return histories.computeIfAbsent(name, key -> new ExitHistory());
    }

    /** Restores the exit history that an earlier supervisor saved. */
    void restore(FleetState.InstanceRecord instance) {
        ExitHistory history = historyOf(instance.name());
        history.exitTimesMicros.addAll(instance.exitTimesMicros());
        history.consecutiveExits = instance.consecutiveExits();
        history.nextStartMicros = instance.nextStartMicros();
        history.heldUntilMicros = instance.heldUntilMicros();
    }

    /** Records an exit after {@code uptimeMicros}. Returns whether the instance is now in a crash loop. */
    boolean recordExit(String name, long uptimeMicros, long nowMicros) {
        ExitHistory history = historyOf(name);
        history.consecutiveExits = uptimeMicros >= policy.resetAfterMicros() ? 1 : history.consecutiveExits + 1;
        history.exitTimesMicros.addLast(nowMicros);
        dropOldExits(history, nowMicros);
        history.nextStartMicros = nowMicros + delayMicros(history.consecutiveExits);
        if (history.exitTimesMicros.size() < policy.crashLoopExits()) {
            return false;
        }
        boolean heldWithoutLimit = policy.crashLoopHoldMicros() == 0;
        history.heldUntilMicros = heldWithoutLimit ? Long.MAX_VALUE : nowMicros + policy.crashLoopHoldMicros();
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

    /**
     * Deletes the history of an instance whose hold has ended, because the hold took the place of the restart delay.
     * Returns whether the instance may be started.
     */
    boolean endExpiredHoldAndCheckStart(String name, long nowMicros) {
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

    /** Returns whether an instance is held because of a crash loop. */
    boolean isHeld(String name, long nowMicros) {
        return historyOf(name).heldUntilMicros > nowMicros;
    }

    /** Deletes the history of an instance that an operator started or that a rollout will start with another build. */
    void reset(String name) {
        histories.remove(name);
    }
}
