package wheatspread.admission;

/** How often a request of a class may take effect. */
public enum Idempotency {
    /** Any number of times. */
    IDEMPOTENT,
    /** Once for each idempotency key within the class's window; repeats get the first result. */
    IDEMPOTENCY_KEY,
    /** Once, without a key that would identify a repeat. */
    AT_MOST_ONCE
}
