package wheatspread.store;

/** A key to be written or deleted, on its way through the writer. */
final class Write {
    final byte[] key;
    /** Null to delete. */
    final byte[] value;

    final long expiresMs;
    final Store.Done done;
    long hash;
    /** The entry that it takes the place of, 0 for none. */
    long replaces;

    int at;
    int length;
    Store.Outcome outcome;
    String reason;

    Write(byte[] key, byte[] value, long expiresMs, Store.Done done) {
        this.key = key;
        this.value = value;
        this.expiresMs = expiresMs;
        this.done = done;
    }

    int size() {
        return key.length + (value == null ? 0 : value.length);
    }

    /** What it takes in a file at most, with its frame and its part of the group's. */
    int maxFrameBytes() {
        return size() + 64;
    }

    void complete(Store.Outcome how, String why) {
        outcome = how;
        reason = why;
    }
}
