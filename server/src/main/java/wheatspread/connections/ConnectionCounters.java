package wheatspread.connections;

import wheatspread.connections.Connection.State;

/** Counts since the start how often each limit of a {@link ConnectionTable} took effect. */
public final class ConnectionCounters {
    private long accepted;
    private long acceptsPaused;
    private long rejectedFull;
    private long rejectedSource;
    private long evictedLingering;
    private long evictedSilent;
    private long evictedPartial;
    private long evictedIdle;
    private long evictedWithinGrace;
    private long expiredSilent;
    private long expiredPartial;
    private long expiredIdle;
    private long expiredLingering;
    private long closedForMemory;
    private long pausedForMemory;
    private long closedStalled;
    private long malformedMessages;

    /** Returns the number of connections rejected when they were accepted, over all reasons. */
    public long rejected() {
        return rejectedFull + rejectedSource;
    }

    /** Returns the number of connections evicted in favour of others, over all reasons. */
    public long evicted() {
        return evictedLingering + evictedSilent + evictedPartial + evictedIdle + evictedWithinGrace;
    }

    void countAccepted() {
        accepted++;
    }

    void countAcceptsPaused() {
        acceptsPaused++;
    }

    void countRejectedFull() {
        rejectedFull++;
    }

    void countRejectedSource() {
        rejectedSource++;
    }

    void countEvictedLingering() {
        evictedLingering++;
    }

    void countEvictedSilent() {
        evictedSilent++;
    }

    void countEvictedPartial() {
        evictedPartial++;
    }

    void countEvictedIdle() {
        evictedIdle++;
    }

    void countEvictedWithinGrace() {
        evictedWithinGrace++;
    }

    /** Counts a connection that exceeded the time limit of {@code state}. */
    void countExpired(State state) {
        switch (state) {
            case NEW -> expiredSilent++;
            case PARTIAL_MESSAGE -> expiredPartial++;
            case IDLE -> expiredIdle++;
            default -> expiredLingering++;
        }
    }

    /** Counts a connection drained because partial messages took too much memory. */
    void countClosedForMemory() {
        closedForMemory++;
    }

    /** Counts a connection that is not read for a time because partial messages take too much memory. */
    void countPausedForMemory() {
        pausedForMemory++;
    }

    /** Counts a connection closed because unread answers took too much memory. */
    void countClosedStalled() {
        closedStalled++;
    }

    /** Counts a message that was answered with an error because it is malformed or exceeds a limit. */
    public void countMalformedMessage() {
        malformedMessages++;
    }

    /** Returns all counters as log fields: alternating names and values. */
    public Object[] fields() {
        return new Object[] {
            "accepted",
            accepted,
            "accepts_paused",
            acceptsPaused,
            "refused_full",
            rejectedFull,
            "refused_source",
            rejectedSource,
            "room_lingering",
            evictedLingering,
            "room_silent",
            evictedSilent,
            "room_speaking",
            evictedPartial,
            "room_resting",
            evictedIdle,
            "room_young",
            evictedWithinGrace,
            "closed_silent",
            expiredSilent,
            "closed_half",
            expiredPartial,
            "closed_idle",
            expiredIdle,
            "closed_lingering",
            expiredLingering,
            "closed_held",
            closedForMemory,
            "paused_held",
            pausedForMemory,
            "closed_stalled",
            closedStalled,
            "malformed",
            malformedMessages
        };
    }
}
