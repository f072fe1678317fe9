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
 * For the writer's thread alone. The length of the active segment counts only groups whose append succeeded,
 * with its sync where the settings ask for one, so after a failure it is where {@link #abandon} cuts it.
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
    /** Where segments without a seal end, to be recorded in the next group: number, length in bytes. */
    private final TreeMap<Integer, Integer> pendingCuts;

    private Segment active;
    /** Begins every group of the active segment. */
    private long mark;
    /** The number that the next segment gets. */
    private int nextNumber;
    /** Something was appended since the last sync. */
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

    /** The segment that is written to; null if there is none now. */
    Segment active() {
        return active;
    }

    /** The number of the segment that the next group goes to, as far as is known now. */
    int currentNumber() {
        return active != null ? active.name().first() : nextNumber;
    }

    /** Where in {@link #currentNumber} the next group goes to. */
    int currentOffset() {
        return active != null ? (int) active.validBytes() : 0;
    }

    /** Whether something was appended since the last sync. */
    boolean isDirty() {
        return dirty;
    }

    /** When the last sync was; milliseconds. */
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

    /** Seals the active segment, if there is one; no later group goes to it. */
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
        disk.delete(name.toString()); // left by a creation that failed half-way
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
     * Appends the writes as one group, after the cuts that have to be recorded first, and notes in each write
     * its place in the group.
     *
     * @return the offset in the active segment that the places in the group count from
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
        checkpoints.logged(size);
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

    /** Syncs all that was appended. */
    void sync(long nowMillis) throws IOException {
        sync((int) active.validBytes(), nowMillis);
    }

    private void sync(int upTo, long nowMillis) throws IOException {
        active.file().sync();
        counters.countSync();
        dirty = false;
        syncedOffset = upTo;
        lastSyncMillis = nowMillis;
    }

    /** After {@link #abandon}: creates a segment that records where the failed one ends. */
    void resume(long nowMillis) throws IOException {
        if (active == null) {
            create();
        }
        if (!pendingCuts.isEmpty()) {
            append(List.of(), nowMillis);
        }
    }

    /** A step on the disk failed: ends the active segment where its last acknowledged group does. */
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

    /** Deletes a segment that holds nothing acknowledged, so that its number can be used again. */
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

    /** The segment has been compacted, so the place where it ended need not be recorded any more. */
    void forgetCut(SegmentName rewritten) {
        pendingCuts.remove(rewritten.isOriginal() ? rewritten.first() : -1);
    }
}
