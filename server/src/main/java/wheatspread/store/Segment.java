package wheatspread.store;

import java.io.IOException;
import wheatspread.disk.DiskFile;

/**
 * A file of the log and what is known of it.
 *
 * <p>Owner: the writer's thread (while the folder is opened: the thread that opens it), which alone calls the
 * methods that change
 * the counters. Any thread may {@link #acquire} and {@link #release} the file; those and {@link #retire} hold the
 * object's lock.
 * Closing: the owner retires a segment, and the file is closed with the last reader's release. Invariant: a file
 * that is acquired
 * is open.
 */
final class Segment {
    /** A {@link #latestExpiryMillis} of this value: some record never expires. */
    static final long NEVER_EXPIRES_MILLIS = Long.MAX_VALUE;

    private final int id;
    private final SegmentName name;
    private final DiskFile file;
    private int cutOffset = SegmentScan.NO_CUT;
    private long validBytes;
    private long liveBytes;
    private long recordCount;
    private long latestExpiryMillis;
    private boolean damaged;
    private int openReaders;
    private boolean retired;

    Segment(int id, SegmentName name, DiskFile file, long validBytes) {
        this.id = id;
        this.name = name;
        this.file = file;
        this.validBytes = validBytes;
    }

    /** The number by which index entries refer to this segment; unique while the store is open, 1 or more. */
    int id() {
        return id;
    }

    SegmentName name() {
        return name;
    }

    DiskFile file() {
        return file;
    }

    /** The offset at which a later segment says that this one ends, or {@link SegmentScan#NO_CUT}. */
    int cutOffset() {
        return cutOffset;
    }

    /** Sets {@link #cutOffset()}. */
    void setCutOffset(int offset) {
        cutOffset = offset;
    }

    /** The length of the part that counts; bytes behind it were never acknowledged. */
    long validBytes() {
        return validBytes;
    }

    /** Sets {@link #validBytes()}. */
    void setValidBytes(long bytes) {
        validBytes = bytes;
    }

    /** Bytes of the records that index entries point to, with their hashes in the group frames. */
    long liveBytes() {
        return liveBytes;
    }

    /** Changes {@link #liveBytes()} by a number that may be negative. */
    void addLiveBytes(long bytes) {
        liveBytes += bytes;
    }

    /** Records that were written to the file, whether or not they are still current. */
    long recordCount() {
        return recordCount;
    }

    /**
     * When the last of all its records expires, in milliseconds since 1970, replaced ones included; 0 if it has
     * none.
     */
    long latestExpiryMillis() {
        return latestExpiryMillis;
    }

    /** Sets what a checkpoint or a compaction knows of the records. */
    void setRecords(long count, long latestExpiry) {
        recordCount = count;
        latestExpiryMillis = latestExpiry;
    }

    /** Counts a record that was written; 0 for {@code expiresMillis} is never. */
    void countRecord(long expiresMillis) {
        recordCount++;
        latestExpiryMillis = Math.max(latestExpiryMillis, expiresMillis == 0 ? NEVER_EXPIRES_MILLIS : expiresMillis);
    }

    /** Counts a tombstone, which has no expiry. */
    void countTombstone() {
        recordCount++;
    }

    /** Whether all of its records have expired. */
    boolean isExpired(long nowMillis) {
        return latestExpiryMillis <= nowMillis;
    }

    /** Whether damage was found in it; such a file is kept under another name once it has been rewritten. */
    boolean isDamaged() {
        return damaged;
    }

    void markDamaged() {
        damaged = true;
    }

    /** Keeps the file open until it is released; false if it is closed already. */
    synchronized boolean acquire() {
        if (retired) {
            return false;
        }
        openReaders++;
        return true;
    }

    /** Ends an {@link #acquire} that returned true. */
    synchronized void release() throws IOException {
        openReaders--;
        if (retired && openReaders == 0) {
            file.close();
        }
    }

    /** Closes the file as soon as no reader holds it open. */
    synchronized void retire() throws IOException {
        if (!retired) {
            retired = true;
            if (openReaders == 0) {
                file.close();
            }
        }
    }
}
