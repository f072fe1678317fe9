package wheatspread.scheduling;

import java.util.SplittableRandom;

/**
 * Limits the requests of idle connections that become active at the same time, so that they do not displace
 * the requests of steadily active clients from the admission queue. During a burst the number of such requests
 * in flight is limited to a window; further requests are rejected immediately with a retry-after. The window
 * follows additive increase and multiplicative decrease (D. Chiu and R. Jain, "Analysis of the Increase and
 * Decrease Algorithms for Congestion Avoidance in Computer Networks", 1989): it grows by 1 for each request
 * that was served and is halved after a rejection for lack of capacity. The limiter does no I/O and reads no
 * clock. Used on the event loop only.
 */
public final class ReconnectBurstLimiter {
    private static final int MIN_WINDOW_REQUESTS = 4;
    private static final int INITIAL_WINDOW_REQUESTS = 16;
    private static final int MAX_WINDOW_REQUESTS = 512;
    /**
     * Rejections within this interval count as a single congestion signal, because a smaller window takes effect
     * only after the requests in flight have ended.
     */
    private static final long DECREASE_INTERVAL_MICROS = 200_000;
    /** The earliest retry-after is the latest retry-after divided by this number. */
    private static final int MIN_RETRY_AFTER_DIVISOR = 4;

    private final int burstThreshold;
    private final SplittableRandom random;
    private boolean inBurst;
    private double windowRequests = INITIAL_WINDOW_REQUESTS;
    private int inFlight;
    private long lastDecreaseMicros = Long.MIN_VALUE / 2;
    private long bursts;
    private long rejections;

    /**
     * Creates a limiter. A burst starts when {@code burstThreshold} idle connections wait to be read; the seed
     * determines the random retry-after times of rejected requests.
     */
    public ReconnectBurstLimiter(int burstThreshold, long seed) {
        this.burstThreshold = burstThreshold;
        random = new SplittableRandom(seed);
    }

    /**
     * Decides whether a request read from an idle connection may be submitted to the core, and counts it as in flight
     * if so. {@code idleConnectionsWaiting} is the number of further idle connections that wait to be read. When an
     * admitted request ends, {@link #completed} must be called once.
     */
    public boolean tryAdmit(int idleConnectionsWaiting) {
        if (!inBurst && idleConnectionsWaiting >= burstThreshold) {
            inBurst = true;
            bursts++;
            windowRequests = INITIAL_WINDOW_REQUESTS;
        } else if (inBurst && idleConnectionsWaiting == 0 && inFlight == 0) {
            inBurst = false;
        }
        if (inBurst && inFlight >= (int) windowRequests) {
            rejections++;
            return false;
        }
        inFlight++;
        return true;
    }

    /** Records the end of an admitted request; {@code served} is whether it succeeded. */
    public void completed(boolean served) {
        inFlight--;
        if (inBurst && served) {
            windowRequests = Math.min(MAX_WINDOW_REQUESTS, windowRequests + 1);
        }
    }

    /** Records that the server rejected a request of any client for lack of capacity. */
    public void rejected(long nowMicros) {
        if (inBurst && nowMicros - lastDecreaseMicros >= DECREASE_INTERVAL_MICROS) {
            lastDecreaseMicros = nowMicros;
            windowRequests = Math.max(MIN_WINDOW_REQUESTS, windowRequests / 2);
        }
    }

    /**
     * Returns the retry-after of a rejected request, drawn uniformly between a quarter of {@code maxMicros} and
     * {@code maxMicros}; 0 if {@code maxMicros} is 0.
     */
    public long retryAfterMicros(long maxMicros) {
        if (maxMicros == 0) {
            return 0;
        }
        long minMicros = maxMicros / MIN_RETRY_AFTER_DIVISOR;
        return minMicros + random.nextLong(Math.max(1, maxMicros - minMicros));
    }

    /** Returns the number of requests of idle connections that may be in flight during a burst. */
    public int window() {
        return (int) windowRequests;
    }

    /** Returns the log fields as alternating names and values. */
    public Object[] fields() {
        return new Object[] {"crowds", bursts, "crowd_turned_away", rejections, "crowd_window", (int) windowRequests};
    }
}
