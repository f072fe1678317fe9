package wheatspread.scheduling;

import java.util.SplittableRandom;

/**
 * Keeps a crowd of sleepers that wakes at once from filling the hold, where it would push out those that ask
 * all the time: while very many sleepers wait to be read, only a few of their requests may be in hand
 * together, and the others are turned away at once and told when to come back. How many that is, is found by
 * additive increase and multiplicative decrease (D. Chiu and R. Jain, 1989): one more for each that was
 * served, half as many once anybody is refused. It does no I/O and reads no clock; times are microseconds.
 */
public final class ReconnectBurstLimiter {
    private static final int LEAST = 4;
    private static final int FIRST = 16;
    private static final int MOST = 512;
    /** Refusals closer together are one sign; it takes a while until fewer requests show. */
    private static final long ONE_SIGN = 200_000;

    private final int crowd;
    private final SplittableRandom random;
    private boolean burst;
    private double window = FIRST;
    private int inHand;
    private long closedAt = Long.MIN_VALUE / 2;
    private long bursts;
    private long turnedAway;

    /** So many sleepers that wait to be read make a crowd; the seed spreads when they come back. */
    public ReconnectBurstLimiter(int crowd, long seed) {
        this.crowd = crowd;
        random = new SplittableRandom(seed);
    }

    /**
     * Whether a request read from a sleeper may go on to be decided on, while so many further sleepers wait.
     * Who is let in must be given back by {@link #ended}.
     */
    public boolean admits(int waiting) {
        if (!burst && waiting >= crowd) {
            burst = true;
            bursts++;
            window = FIRST;
        } else if (burst && waiting == 0 && inHand == 0) {
            burst = false;
        }
        if (burst && inHand >= (int) window) {
            turnedAway++;
            return false;
        }
        inHand++;
        return true;
    }

    /** A request that was let in is over. */
    public void ended(boolean served) {
        inHand--;
        if (burst && served) {
            window = Math.min(MOST, window + 1);
        }
    }

    /** Somebody was refused for want of room, whoever it was. */
    public void refused(long now) {
        if (burst && now - closedAt >= ONE_SIGN) {
            closedAt = now;
            window = Math.max(LEAST, window / 2);
        }
    }

    /** When one that is turned away should come back, {@code most} microseconds at most: spread evenly. */
    public long later(long most) {
        return most == 0 ? 0 : most / 4 + random.nextLong(Math.max(1, most - most / 4));
    }

    /** How many may be in hand while a burst lasts. */
    public int window() {
        return (int) window;
    }

    /** What is logged, as names and values in turns. */
    public Object[] fields() {
        return new Object[] {"crowds", bursts, "crowd_turned_away", turnedAway, "crowd_window", (int) window};
    }
}
