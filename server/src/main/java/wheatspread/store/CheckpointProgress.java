package wheatspread.store;

/**
 * Tracks the newest checkpoint, and how many bytes the log has grown since the last checkpoint was started.
 * Confined to the writer thread.
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

    /** Counts bytes that were appended to the log. */
    void countLogged(long bytes) {
        loggedBytes += bytes;
        changed = true;
    }

    /** Starts a checkpoint and returns its number. */
    long start() {
        loggedBytes = 0;
        changed = false;
        return ++number;
    }

    /** Records that a checkpoint could not be written or was cancelled; the next one is due immediately. */
    void markFailed(StoreSettings settings) {
        loggedBytes = settings.checkpointIntervalBytes();
        changed = true;
    }

    boolean isDue(StoreSettings settings) {
        return loggedBytes >= settings.checkpointIntervalBytes();
    }

    /** Returns whether the log has changed since the last checkpoint was started. */
    boolean hasChanges() {
        return changed;
    }

    /** Returns the file name of the newest checkpoint, or null if there is none. */
    String newest() {
        return newest;
    }

    /** Records that a checkpoint is complete and durable. */
    void markCompleted(String name) {
        newest = name;
    }

    /** Records the checkpoint that was found when the folder was opened. Later checkpoints continue its numbers. */
    void restore(String name) {
        newest = name;
        number = Layout.checkpointNumber(name);
    }
}
