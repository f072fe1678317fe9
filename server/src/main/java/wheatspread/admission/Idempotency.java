package wheatspread.admission;

/** How often a request may take effect. */
public enum Idempotency {
    IDEMPOTENT,
    IDEMPOTENCY_KEY,
    AT_MOST_ONCE
}
