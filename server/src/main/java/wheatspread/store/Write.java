package wheatspread.store;

/**
 * A pending put or deletion of a key.
 *
 * <p>{@link WriterQueue} transfers the write from the caller's thread to the writer thread, which passes it to the
 * thread of the callback; only one thread uses the write at any time. The writer calls {@link #resolve}, {@link
 * #setLocation} and {@link #complete} in this order.
 */
final class Write {
    /** An upper bound of the overhead of a record: its frame header, its fields and its hash in the group frame. */
    private static final int MAX_OVERHEAD_BYTES = 64;

    private final byte[] key;
    private final byte[] value;
    private final long expiresMillis;
    private final Store.WriteCallback callback;
    private long hash;
    private long replacedLocation;
    private int groupOffset;
    private int frameBytes;
    private Store.Outcome outcome;
    private String reason;

    /**
     * Creates a write without an outcome.
     *
     * @param value the value, or null to delete the key
     * @param expiresMillis the expiry in milliseconds since 1970; 0 if it never expires
     * @param callback called with the outcome; null only in tests
     */
    Write(byte[] key, byte[] value, long expiresMillis, Store.WriteCallback callback) {
        this.key = key;
        this.value = value;
        this.expiresMillis = expiresMillis;
        this.callback = callback;
    }

    byte[] key() {
        return key;
    }

    /** Returns the value, or null for a deletion. */
    byte[] value() {
        return value;
    }

    boolean isDeletion() {
        return value == null;
    }

    /** Returns the expiry in milliseconds since 1970; 0 if it never expires. */
    long expiresMillis() {
        return expiresMillis;
    }

    /** Returns the bytes of key and value. */
    int size() {
        return key.length + (value == null ? 0 : value.length);
    }

    /** Returns an upper bound of the bytes that the write takes in a file. */
    int maxFrameBytes() {
        return size() + MAX_OVERHEAD_BYTES;
    }

    /** Sets the hash of the key, and the index location of the entry that the write replaces, or 0. */
    void resolve(long keyHash, long replaced) {
        hash = keyHash;
        replacedLocation = replaced;
    }

    long hash() {
        return hash;
    }

    /** Returns the index location of the entry that the write replaces; 0 if there is none. */
    long replacedLocation() {
        return replacedLocation;
    }

    /** Sets the offset of the frame in the group, and the length of the frame. */
    void setLocation(int offset, int bytes) {
        groupOffset = offset;
        frameBytes = bytes;
    }

    /** Returns the offset of the frame, relative to the end of the group's descriptor frame. */
    int groupOffset() {
        return groupOffset;
    }

    int frameBytes() {
        return frameBytes;
    }

    /** Sets the outcome; the reason is null unless the write failed. */
    void complete(Store.Outcome newOutcome, String newReason) {
        outcome = newOutcome;
        reason = newReason;
    }

    /** Returns the outcome, or null until the write is complete. */
    Store.Outcome outcome() {
        return outcome;
    }

    /** Calls the callback with the outcome. */
    void invokeCallback() {
        callback.ended(outcome, reason);
    }
}
