package wheatspread.core;

/**
 * Runs of keyed requests that another process of this server may have made: during an upgrade, two processes
 * serve one name, and a try that ran in one must not run again in the other within its window.
 */
public interface IdempotencyClaims {
    /** For a server that is one process alone. */
    IdempotencyClaims NONE = (key, door, window) -> true;

    /**
     * Whether this process may run a try of {@code key} that came at {@code door}, in microseconds of the
     * Unix clock: no other process claimed the key for a door within {@code window} microseconds before it.
     * A yes is this process's claim, which the others see from then on.
     */
    boolean claim(String key, long door, long window);
}
