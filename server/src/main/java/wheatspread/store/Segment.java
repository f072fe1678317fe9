package wheatspread.store;

import java.io.IOException;
import wheatspread.disk.DiskFile;

/**
 * A file of the log and what is known of it. The writer owns it; {@link #hold} and {@link #release} are for
 * whoever reads and hold the object's lock.
 */
final class Segment {
    /** For {@link #latestExpiryMs}: something in it never expires. */
    static final long NEVER = Long.MAX_VALUE;

    final int id;
    final SegmentName name;
    final DiskFile file;
    /** Where it ends by the word of a later segment, or {@link SegmentScan#UNCUT}. */
    int cut = SegmentScan.UNCUT;
    /** The bytes that count; what is behind them is void. */
    long bytes;

    long liveBytes;
    long records;
    /** When the last of the records has expired that it ever held, dead ones too; 0 if it holds none. */
    long latestExpiryMs;
    /** What of it is damaged was found: the file is kept aside when it has been rewritten. */
    boolean damaged;

    private int held;
    private boolean retired;

    Segment(int id, SegmentName name, DiskFile file, long bytes) {
        this.id = id;
        this.name = name;
        this.file = file;
        this.bytes = bytes;
    }

    /** Counts a record. */
    void countRecord(long expiresMs) {
        records++;
        latestExpiryMs = Math.max(latestExpiryMs, expiresMs == 0 ? NEVER : expiresMs);
    }

    /** Whether nothing in it can come back to life. */
    boolean isExpired(long nowMs) {
        return latestExpiryMs <= nowMs;
    }

    /** Keeps the file open until it is released; false if it is closed already. */
    synchronized boolean hold() {
        if (retired) {
            return false;
        }
        held++;
        return true;
    }

    synchronized void release() throws IOException {
        held--;
        if (retired && held == 0) {
            file.close();
        }
    }

    /** Closes the file when nobody reads it any more. */
    synchronized void retire() throws IOException {
        if (!retired) {
            retired = true;
            if (held == 0) {
                file.close();
            }
        }
    }
}
