package wheatspread.store;

/**
 * A put or a deletion of one key on its way through the writer.
 *
 * <p>Handed over from the caller's thread to the writer's by {@link WriterQueue}, and from there to the callback's;
 * one thread at
 * a time uses it. Filled in that order: {@link #resolve}, {@link #setLocation}, {@link #complete}.
 */
final class Write {
    /** An upper bound of what a record takes beside its key and value: its frame and its hash in the group's frame. */
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
     * A write that waits.
     *
     * @param value null to delete
     * @param expiresMillis since 1970; 0 is never
     * @param callback is called with the outcome; may be null in a test
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

    /** Null to delete. */
    byte[] value() {
        return value;
    }

    boolean isDeletion() {
        return value == null;
    }

    /** Milliseconds since 1970; 0 is never. */
    long expiresMillis() {
        return expiresMillis;
    }

    /** Bytes of key and value. */
    int size() {
        return key.length + (value == null ? 0 : value.length);
    }

    /** Bytes that it takes in a file at most, with its frame and its part of the group's. */
    int maxFrameBytes() {
        return size() + MAX_OVERHEAD_BYTES;
    }

    /** Sets the hash of the key, and the location of the entry that it replaces (0 for none). */
    void resolve(long keyHash, long replaced) {
        hash = keyHash;
        replacedLocation = replaced;
    }

    long hash() {
        return hash;
    }

    /** The index location of the entry that it replaces; 0 for none. */
    long replacedLocation() {
        return replacedLocation;
    }

    /** Sets where its frame stands in the group, and the length of that frame. */
    void setLocation(int offset, int bytes) {
        groupOffset = offset;
        frameBytes = bytes;
    }

    /** The offset of its frame behind the group's own frame. */
    int groupOffset() {
        return groupOffset;
    }

    int frameBytes() {
        return frameBytes;
    }

    /** Sets the outcome; {@code why} is null unless it failed. */
    void complete(Store.Outcome how, String why) {
        outcome = how;
        reason = why;
    }

    /** Null until it is complete. */
    Store.Outcome outcome() {
        return outcome;
    }

    /** Calls the callback with the outcome. */
    void notifyCaller() {
        callback.ended(outcome, reason);
    }
}
