package wheatspread.scheduling;

import java.util.SplittableRandom;

/**
 * Limits the requests of idle connections that become active at the same time, so that they do not displace
 * the requests of steady callers from the admission queue. While a burst lasts, only a window of such
 * requests may be in flight; the others are rejected at once with a time to retry after. The window follows
 * additive increase and multiplicative decrease (D. Chiu and R. Jain, "Analysis of the Increase and Decrease
 * Algorithms for Congestion Avoidance in Computer Networks", 1989): one more for each request that was
 * served, half as many after a rejection. It does no I/O and reads no clock; used on the event loop only.
 */
public final class ReconnectBurstLimiter {
    private static final int MIN_WINDOW = 4;
    private static final int INITIAL_WINDOW = 16;
    private static final int MAX_WINDOW = 512;
    /** Rejections within this time count as one congestion signal, since a smaller window takes effect late. */
    private static final long DECREASE_INTERVAL_MICROS = 200_000;
    /** The earliest retry, as a fraction of the latest one. */
    private static final int EARLIEST_RETRY_FRACTION = 4;

    private final int burstThreshold;
    private final SplittableRandom random;
    private boolean burst;
    private double window = INITIAL_WINDOW;
    private int inFlight;
    private long decreasedAtMicros = Long.MIN_VALUE / 2;
    private long bursts;
    private long rejections;

    /**
     * A burst starts once {@code burstThreshold} idle connections wait to be read; the seed spreads the
     * retries of rejected requests.
     */
    public ReconnectBurstLimiter(int burstThreshold, long seed) {
        this.burstThreshold = burstThreshold;
        random = new SplittableRandom(seed);
    }

    /**
     * Decides whether a request read from an idle connection may go on to the core, while {@code idleWaiting}
     * further idle connections wait to be read. An admitted request must be given back by {@link #completed}.
     */
    public boolean tryAdmit(int idleWaiting) {
        if (!burst && idleWaiting >= burstThreshold) {
            burst = true;
            bursts++;
            window = INITIAL_WINDOW;
        } else if (burst && idleWaiting == 0 && inFlight == 0) {
            burst = false;
        }
        if (burst && inFlight >= (int) window) {
            rejections++;
            return false;
        }
        inFlight++;
        return true;
    }

    /** An admitted request has ended. */
    public void completed(boolean served) {
        inFlight--;
        if (burst && served) {
            window = Math.min(MAX_WINDOW, window + 1);
        }
    }

    /** The server rejected a request for lack of capacity, whichever caller it came from. */
    public void rejected(long nowMicros) {
        if (burst && nowMicros - decreasedAtMicros >= DECREASE_INTERVAL_MICROS) {
            decreasedAtMicros = nowMicros;
            window = Math.max(MIN_WINDOW, window / 2);
        }
    }

    /** When a rejected request should be retried: uniformly between a quarter of the latest time and that. */
    public long retryAfterMicros(long maxMicros) {
        if (maxMicros == 0) {
            return 0;
        }
        long minMicros = maxMicros / EARLIEST_RETRY_FRACTION;
        return minMicros + random.nextLong(Math.max(1, maxMicros - minMicros));
    }

    /** How many requests may be in flight while a burst lasts. */
    public int window() {
        return (int) window;
    }

    /** What is logged, as alternating names and values. */
    public Object[] fields() {
        return new Object[] {"crowds", bursts, "crowd_turned_away", rejections, "crowd_window", (int) window};
    }
}
