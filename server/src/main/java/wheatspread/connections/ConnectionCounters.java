package wheatspread.connections;

/** How often each limit of a {@link ConnectionTable} came to bear since the start. */
public final class ConnectionCounters {
    long accepted;
    long paused;
    long refusedFull;
    long refusedSource;
    long roomLingering;
    long roomSilent;
    long roomSpeaking;
    long roomResting;
    long roomYoung;
    long closedSilent;
    long closedHalf;
    long closedIdle;
    long closedLingering;
    long closedHeld;
    long closedStalled;

    /** Connections that were turned away at once, for whatever reason. */
    public long refused() {
        return refusedFull + refusedSource;
    }

    /** Connections that made room for others. */
    public long madeRoom() {
        return roomLingering + roomSilent + roomSpeaking + roomResting + roomYoung;
    }

    /** All of them, as names and values in turns. */
    public Object[] fields() {
        return new Object[] {
            "accepted",
            accepted,
            "accepts_paused",
            paused,
            "refused_full",
            refusedFull,
            "refused_source",
            refusedSource,
            "room_lingering",
            roomLingering,
            "room_silent",
            roomSilent,
            "room_speaking",
            roomSpeaking,
            "room_resting",
            roomResting,
            "room_young",
            roomYoung,
            "closed_silent",
            closedSilent,
            "closed_half",
            closedHalf,
            "closed_idle",
            closedIdle,
            "closed_lingering",
            closedLingering,
            "closed_held",
            closedHeld,
            "closed_stalled",
            closedStalled
        };
    }
}
