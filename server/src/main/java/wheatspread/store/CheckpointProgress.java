package wheatspread.store;

/**
 * The newest checkpoint, and how far the log has grown since the last checkpoint was started. For the writer's
 * thread alone.
 */
final class CheckpointProgress {
    private long loggedBytes;
    private boolean changed;
    private long number;
    private String newest;

    CheckpointProgress(Recovery.Report recovered) {
        loggedBytes = recovered.readBytes();
        changed = recovered.replayedRecords() > 0;
    }

    /** The log grew by this many bytes. */
    void logged(long bytes) {
        loggedBytes += bytes;
        changed = true;
    }

    /** Begins a checkpoint, and returns its number. */
    long start() {
        loggedBytes = 0;
        changed = false;
        return ++number;
    }

    /** The checkpoint could not be written: the next one is due at once. */
    void failed(StoreSettings settings) {
        loggedBytes = settings.checkpointIntervalBytes();
    }

    boolean isDue(StoreSettings settings) {
        return loggedBytes >= settings.checkpointIntervalBytes();
    }

    /** Whether the log holds anything newer than the start of the last checkpoint. */
    boolean hasChanges() {
        return changed;
    }

    /** The file of the newest checkpoint; null if there is none. */
    String newest() {
        return newest;
    }

    /** A checkpoint is complete and durable. */
    void completed(String name) {
        newest = name;
    }

    /** A checkpoint was found when the folder was opened; numbers go on from it. */
    void found(String name) {
        newest = name;
        number = Layout.checkpointNumber(name);
    }
}
