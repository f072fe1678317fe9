package wheatspread.core;

/**
 * Claims on idempotency keys, shared by the processes of one server. During an upgrade two processes serve one
 * address, and a request that ran in one of them must not run again in the other within its idempotency window.
 */
public interface IdempotencyClaims {
    /** Grants every claim, for a server that is a single process. */
    IdempotencyClaims NONE = (key, arrivalMicros, windowMicros) -> true;

    /**
     * Claims {@code key} for an attempt that arrived at {@code arrivalMicros} (Unix time). Returns false if
     * another process claimed the key for an arrival at most {@code windowMicros} earlier; the attempt must then
     * not run. If the method returns true, the claim is recorded and visible to the other processes.
     */
    boolean claim(String key, long arrivalMicros, long windowMicros);
}
