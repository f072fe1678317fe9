package wheatspread.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import wheatspread.disk.Disk;
import wheatspread.disk.DiskFile;
import wheatspread.logging.EventLog;

/**
 * Appends groups to the newest segment of the log: creates segments, seals those that are full, and syncs.
 * Confined to the writer thread. The length of the active segment includes only groups whose append, and sync if
 * the settings require one, succeeded; after a failure {@link #abandon} cuts the segment at that length.
 */
final class SegmentWriter {
    private final Disk disk;
    private final StoreSettings settings;
    private final EventLog log;
    private final LongSupplier random;
    private final SegmentCatalog catalog;
    private final CheckpointProgress checkpoints;
    private final StoreStats.Counters counters;
    private final GroupEncoder group = new GroupEncoder();
    /** The ends of segments without a seal, to be recorded in the next group: length in bytes by number. */
    private final TreeMap<Integer, Integer> pendingCuts;

    private Segment active;
    /** The mark of the active segment, which every group repeats. */
    private long mark;
    /** The number of the next new segment. */
    private int nextNumber;
    /** Whether bytes were appended since the last sync. */
    private boolean dirty;

    private int syncedOffset;
    private long lastSyncMillis;

    SegmentWriter(StoreContext context, Recovery recovery, CheckpointProgress checkpoints) {
        disk = context.disk();
        settings = context.settings();
        log = context.log();
        random = context.random();
        catalog = context.catalog();
        counters = context.counters();
        this.checkpoints = checkpoints;
        pendingCuts = recovery.pendingCuts();
        nextNumber = recovery.layout().nextNumber();
    }

    /** Returns the segment to which groups are appended, or null if there is none. */
    Segment active() {
        return active;
    }

    /** Returns the number of the active segment, or of the next segment if none is active. */
    int currentNumber() {
        return active != null ? active.name().first() : nextNumber;
    }

    /** Returns the offset of the next group in the segment {@link #currentNumber}. */
    int currentOffset() {
        return active != null ? (int) active.validBytes() : 0;
    }

    /** Returns whether bytes were appended since the last sync. */
    boolean isDirty() {
        return dirty;
    }

    /** Returns the time of the last sync in milliseconds since 1970. */
    long lastSyncMillis() {
        return lastSyncMillis;
    }

    /** Ensures that there is an active segment with space for this many bytes. */
    void reserve(long size) throws IOException {
        if (active != null
                && active.validBytes() > FileHeader.HEADER_BYTES
                && active.validBytes() + size > settings.segmentBytes()) {
            seal();
        }
        if (active == null) {
            create();
        }
    }

    /** Seals the active segment, if any; later groups are appended to a new segment. */
    void seal() throws IOException {
        if (active == null) {
            return;
        }
        ByteBuffer seal = GroupEncoder.seal(mark, (int) active.validBytes());
        active.file().append(seal);
        active.file().sync();
        active.setValidBytes(active.validBytes() + seal.capacity());
        active = null;
        dirty = false;
    }

    private void create() throws IOException {
        SegmentName name = SegmentName.original(nextNumber);
        disk.delete(name.toString()); // an earlier creation may have failed midway
        DiskFile file = disk.create(name.toString());
        active = new Segment(catalog.newId(), name, file, FileHeader.HEADER_BYTES);
        catalog.append(active);
        nextNumber++;
        mark = FileHeader.newMark(random);
        file.append(FileHeader.write(name, catalog.seed(), mark, 0));
        file.sync();
        disk.syncNames();
        syncedOffset = FileHeader.HEADER_BYTES;
        dirty = false;
    }

    /**
     * Appends the writes as a group, preceded by the pending cuts, and sets in each write its location in the group.
     *
     * @return the offset in the active segment to which the locations in the group are relative
     */
    long append(List<Write> writes, long nowMillis) throws IOException {
        encode(writes);
        int start = (int) active.validBytes();
        ByteBuffer bytes = group.end(mark, start, syncedOffset);
        int size = bytes.remaining();
        active.file().append(bytes);
        dirty = true;
        if (settings.sync() == StoreSettings.Sync.GROUP || !pendingCuts.isEmpty()) {
            sync(start + size, nowMillis);
        }
        active.setValidBytes(start + size);
        checkpoints.countLogged(size);
        counters.countGroup(size);
        pendingCuts.clear();
        return active.validBytes() - group.size();
    }

    private void encode(List<Write> writes) {
        group.startGroup(writes.size() + 1);
        if (!pendingCuts.isEmpty()) {
            group.add(0, GroupEncoder.cuts(pendingCuts));
        }
        for (Write write : writes) {
            int groupOffset = group.add(write.hash(), write.key(), write.value(), write.expiresMillis());
            write.setLocation(groupOffset, group.length(groupOffset));
        }
    }

    /** Syncs all appended groups. */
    void sync(long nowMillis) throws IOException {
        sync((int) active.validBytes(), nowMillis);
    }

    private void sync(int endOffset, long nowMillis) throws IOException {
        active.file().sync();
        counters.countSync();
        dirty = false;
        syncedOffset = endOffset;
        lastSyncMillis = nowMillis;
    }

    /** After {@link #abandon}, creates a segment that records where the failed segment ends. */
    void resume(long nowMillis) throws IOException {
        if (active == null) {
            create();
        }
        if (!pendingCuts.isEmpty()) {
            append(List.of(), nowMillis);
        }
    }

    /** After a disk failure, cuts the active segment at the end of its last acknowledged group. */
    void abandon() {
        if (active == null) {
            return;
        }
        Segment failed = active;
        active = null;
        dirty = false;
        if (failed.validBytes() <= FileHeader.HEADER_BYTES) {
            discard(failed);
        } else {
            failed.setCutOffset((int) failed.validBytes());
            pendingCuts.put(failed.name().first(), failed.cutOffset());
        }
    }

    /** Deletes a segment without acknowledged writes, so that its number can be reused. */
    private void discard(Segment failed) {
        int number = failed.name().first();
        failed.setValidBytes(0);
        failed.setCutOffset(0);
        pendingCuts.put(number, 0);
        try {
            disk.delete(failed.name().toString());
            catalog.remove(failed);
            pendingCuts.remove(number);
            nextNumber = number;
            failed.retire();
        } catch (IOException e) {
            log.warn("store_delete_failed", "file", failed.name(), "reason", e.toString());
        }
    }

    /** Drops the pending cut of a compacted segment, which need not be recorded any more. */
    void forgetCut(SegmentName compacted) {
        pendingCuts.remove(compacted.isOriginal() ? compacted.first() : -1);
    }
}
