package wheatspread.lab.world;

/** A fault that a soak plants to show that it finds faults of this kind. */
public enum PlantedFault {
    /** An answer never reaches its client. */
    DROPPED_ANSWER,
    /** A request with an idempotency key runs twice. */
    KEY_RUN_TWICE,
    /** A request that was sent after the drain grace runs. */
    RUN_PAST_GRACE,
    /** The event loop of a server ends, since its metaspace is too small. */
    LOOP_ENDED,
    /** An acknowledged write of the store is gone after the store was opened again. */
    LOST_WRITE
}
