package wheatspread.admission;

/** How often a request of a class may take effect. */
public enum Idempotency {
    /** The request may take effect any number of times. */
    IDEMPOTENT,
    /** The request takes effect once per idempotency key within the class's window; duplicates get the first result. */
    IDEMPOTENCY_KEY,
    /** The request takes effect at most once and has no key that would identify a duplicate. */
    AT_MOST_ONCE
}
