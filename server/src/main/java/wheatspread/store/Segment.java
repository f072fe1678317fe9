package wheatspread.store;

import java.io.IOException;
import wheatspread.disk.DiskFile;

/**
 * A file of the log with its metadata.
 *
 * <p>Owner: the writer thread, or during recovery the thread that opens the store. Only the owner calls the methods
 * that change the counters. Any thread may {@link #acquire} and {@link #release} the file; those methods and {@link
 * #retire} hold the object's lock. The owner retires a segment, and the file is closed when the last reader has
 * released it. Invariant: an acquired file is open.
 */
final class Segment {
    /** The value of {@link #latestExpiryMillis} if some record never expires. */
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

    /** Returns the number by which index entries refer to this segment: 1 or more, unique while the store is open. */
    int id() {
        return id;
    }

    SegmentName name() {
        return name;
    }

    DiskFile file() {
        return file;
    }

    /** Returns the offset at which this segment ends according to a later segment, or {@link SegmentScan#NO_CUT}. */
    int cutOffset() {
        return cutOffset;
    }

    /** Sets {@link #cutOffset()}. */
    void setCutOffset(int offset) {
        cutOffset = offset;
    }

    /** Returns the length of the valid part; bytes after it were never acknowledged. */
    long validBytes() {
        return validBytes;
    }

    /** Sets {@link #validBytes()}. */
    void setValidBytes(long bytes) {
        validBytes = bytes;
    }

    /** Returns the bytes of records that index entries point to, including their hashes in the group frames. */
    long liveBytes() {
        return liveBytes;
    }

    /** Adds to {@link #liveBytes()}; {@code bytes} may be negative. */
    void addLiveBytes(long bytes) {
        liveBytes += bytes;
    }

    /** Returns the number of records written to the file, including replaced records. */
    long recordCount() {
        return recordCount;
    }

    /**
     * Returns the latest expiry of the records in this segment, including replaced records, in milliseconds since 1970;
     * 0 if the segment has no records.
     */
    long latestExpiryMillis() {
        return latestExpiryMillis;
    }

    /** Sets the record count and the latest expiry, as a checkpoint or a compaction determined them. */
    void setRecords(long count, long latestExpiry) {
        recordCount = count;
        latestExpiryMillis = latestExpiry;
    }

    /** Counts a written record; {@code expiresMillis} is 0 if the record never expires. */
    void countRecord(long expiresMillis) {
        recordCount++;
        latestExpiryMillis = Math.max(latestExpiryMillis, expiresMillis == 0 ? NEVER_EXPIRES_MILLIS : expiresMillis);
    }

    /** Counts a tombstone, which has no expiry. */
    void countTombstone() {
        recordCount++;
    }

    /** Returns whether all records of this segment have expired. */
    boolean isExpired(long nowMillis) {
        return latestExpiryMillis <= nowMillis;
    }

    /** Returns whether damage was found; such a file is renamed, not deleted, after its compaction. */
    boolean isDamaged() {
        return damaged;
    }

    void markDamaged() {
        damaged = true;
    }

    /** Keeps the file open until {@link #release}; returns false if the segment is retired. */
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

    /** Closes the file as soon as no reader has acquired it. */
    synchronized void retire() throws IOException {
        if (!retired) {
            retired = true;
            if (openReaders == 0) {
                file.close();
            }
        }
    }
}
