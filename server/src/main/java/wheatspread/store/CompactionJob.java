package wheatspread.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.agrona.collections.LongArrayList;
import wheatspread.disk.Disk;
import wheatspread.disk.DiskFile;

/**
 * Compacts a run of segments: copies their live records into a new segment that replaces them. The new file is renamed
 * to its final name only after it is synced completely, and the old files are kept until every index entry points to
 * the new file. After a crash at any point the folder contains the old files, the new file, or both, and in all three
 * cases the content is the same.
 *
 * <p>The background thread calls {@link #step}, the writer thread all other methods. The job keeps the old segments
 * open from its creation until {@link #releaseRun}, or {@link #abort} after a failure.
 */
final class CompactionJob extends MaintenanceJob {
    private static final int TARGET_GROUP_BYTES = 64 << 10;
    private static final int MIN_STEP_BYTES = 128 << 10;
    private static final int SYNC_INTERVAL_BYTES = 1 << 20;
    private static final int MAX_MOVES_PER_INSTALL = 2_000;
    private static final int MAX_GROUP_RECORDS = 4_096;

    /** The parameters of a compaction other than its input segments. */
    record Parameters(
            SegmentName name,
            long mark,
            boolean canDropTombstones,
            Set<Integer> cutsNeeded,
            long nowMillis,
            long lossUntilMillis) {}

    /** A record that has been copied into the current group at {@code groupOffset}. */
    private record CopiedRecord(long hash, long from, int groupOffset, int length, int expiry) {}

    /** Keys lost to damage at location {@code from} of an input; the loss is recorded at {@code recordOffset}. */
    private record Loss(LongArrayList hashes, boolean allKeys, int recordOffset, long from) {}

    private final Disk disk;
    private final SegmentCatalog catalog;
    private final List<Segment> run;
    private final Parameters parameters;
    private final GroupEncoder group = new GroupEncoder();
    private final List<CopiedRecord> pending = new ArrayList<>();
    private final List<Loss> pendingLosses = new ArrayList<>();
    private final LongArrayList moves = new LongArrayList();
    private final List<Loss> losses = new ArrayList<>();
    private final LongArrayList expired = new LongArrayList();
    private DiskFile output;
    private long writtenBytes;
    private long syncedBytes;
    private int inputIndex = -1;
    private SegmentScan scan;
    private long records;
    private long latestExpiryMillis;
    private Segment result;
    private int installed;
    private boolean mayHaveFinalName;
    private boolean started;
    private boolean dropsSuspectedLosses;

    CompactionJob(Disk disk, SegmentCatalog catalog, List<Segment> run, Parameters parameters) {
        this.disk = disk;
        this.catalog = catalog;
        this.run = List.copyOf(run);
        this.parameters = parameters;
        run.forEach(Segment::acquire);
    }

    /** Sets whether records of suspected losses are dropped. */
    void dropSuspectedLosses(boolean drop) {
        dropsSuspectedLosses = drop;
    }

    private String newName() {
        return parameters.name() + SegmentName.TEMPORARY_SUFFIX;
    }

    @Override
    boolean step() throws IOException {
        resetBytesMoved();
        if (!started) {
            started = true;
            disk.delete(newName());
            output = disk.create(newName());
            write(FileHeader.write(parameters.name(), catalog.seed(), parameters.mark(), parameters.nowMillis()));
            group.startGroup(MAX_GROUP_RECORDS);
            return true;
        }
        while (bytesMoved() < MIN_STEP_BYTES) {
            if (scan == null && !openNextInput()) {
                finish();
                return false;
            }
            long before = scan.bytesRead();
            SegmentScan.Step step = scan.advance();
            addBytesMoved(scan.bytesRead() - before);
            switch (step) {
                case RECORD -> copyRecord(scan);
                case DAMAGE -> recordDamage();
                case END -> scan = null;
                default -> {}
            }
            if (group.size() >= TARGET_GROUP_BYTES || group.records() == MAX_GROUP_RECORDS) {
                flushGroup();
            }
        }
        return true;
    }

    private boolean openNextInput() throws IOException {
        inputIndex++;
        if (inputIndex >= run.size()) {
            return false;
        }
        Segment segment = run.get(inputIndex);
        scan = new SegmentScan(segment.file(), segment.name(), 0, segment.cutOffset(), false);
        return true;
    }

    private void copyRecord(SegmentScan input) {
        Format.Record record = input.record();
        switch (record.getKind()) {
            case PUT -> {
                long hash = catalog.hash(input);
                long from = Index.location(run.get(inputIndex).id(), (int) input.offset());
                long expires = record.getExpiresMs();
                if (SegmentCatalog.hasExpired(expires, parameters.nowMillis())) {
                    // an older value must not reappear, whether or not the expiry sweep has removed this entry
                    expired.addLong(hash);
                    expired.addLong(from);
                    copyTombstone(input);
                } else if (catalog.index().has(hash, from)) {
                    int groupOffset = group.add(hash, record);
                    pending.add(new CopiedRecord(
                            hash, from, groupOffset, group.length(groupOffset), SegmentCatalog.expirySeconds(expires)));
                    records++;
                    latestExpiryMillis =
                            Math.max(latestExpiryMillis, expires == 0 ? Segment.NEVER_EXPIRES_MILLIS : expires);
                }
            }
            case DELETE -> copyTombstone(input);
            case CUT -> {
                Map<Integer, Integer> keptCuts = new TreeMap<>();
                record.getCutsList().stream()
                        .filter(cut -> parameters.cutsNeeded().contains(cut.getSegment()))
                        .forEach(cut -> keptCuts.put(cut.getSegment(), cut.getLength()));
                if (!keptCuts.isEmpty()) {
                    group.add(0, GroupEncoder.cuts(keptCuts));
                }
            }
            case DOUBT -> {
                if (!dropsSuspectedLosses
                        && !SegmentCatalog.hasExpired(record.getDoubt().getUntilMs(), parameters.nowMillis())) {
                    group.add(0, record);
                }
            }
            default -> {}
        }
    }

    /** Copies a tombstone, unless no older segment can still contain an unexpired record of the key. */
    private void copyTombstone(SegmentScan input) {
        if (!parameters.canDropTombstones()) {
            group.add(catalog.hash(input), input.record().getKey().toByteArray(), null, 0);
        }
    }

    private void recordDamage() {
        Segment segment = run.get(inputIndex);
        segment.markDamaged();
        LongArrayList lostHashes = new LongArrayList();
        scan.lostHashes().forEachOrderedLong(lostHashes::addLong);
        int groupOffset = group.add(
                0, GroupEncoder.suspectedLoss(lostHashes, scan.lostUnknownKeys(), parameters.lossUntilMillis()));
        pendingLosses.add(new Loss(
                lostHashes, scan.lostUnknownKeys(), groupOffset, Index.location(segment.id(), (int) scan.offset())));
    }

    private void flushGroup() throws IOException {
        if (group.records() > 0) {
            ByteBuffer bytes = group.end(parameters.mark(), (int) writtenBytes, (int) writtenBytes);
            int base = (int) writtenBytes + group.groupFrameBytes();
            for (CopiedRecord copied : pending) {
                moves.addLong(copied.hash());
                moves.addLong(copied.from());
                moves.addLong(base + copied.groupOffset());
                moves.addLong((long) copied.length() << 32 | copied.expiry() & 0xFFFF_FFFFL);
            }
            for (Loss loss : pendingLosses) {
                losses.add(new Loss(loss.hashes(), loss.allKeys(), base + loss.recordOffset(), loss.from()));
            }
            pending.clear();
            pendingLosses.clear();
            write(bytes);
            if (writtenBytes - syncedBytes >= SYNC_INTERVAL_BYTES) {
                output.sync();
                syncedBytes = writtenBytes;
            }
        }
        group.startGroup(MAX_GROUP_RECORDS);
    }

    private void write(ByteBuffer bytes) throws IOException {
        int size = bytes.remaining();
        output.append(bytes);
        writtenBytes += size;
        addBytesMoved(size);
    }

    private void finish() throws IOException {
        flushGroup();
        write(GroupEncoder.seal(parameters.mark(), (int) writtenBytes));
        output.sync();
        mayHaveFinalName = true; // the rename may take effect even if it reports a failure
        disk.rename(newName(), parameters.name().toString());
        disk.syncNames();
    }

    @Override
    boolean install() {
        if (result == null) {
            result = new Segment(catalog.newId(), parameters.name(), output, writtenBytes);
            result.setRecords(records, latestExpiryMillis);
            catalog.register(result);
            synchronized (catalog.index()) {
                losses.forEach(loss -> catalog.recordLoss(
                        loss.hashes(),
                        loss.allKeys(),
                        parameters.lossUntilMillis(),
                        loss.from(),
                        parameters.name().first(),
                        loss.recordOffset()));
            }
            for (int i = 0; i < expired.size(); i += 2) {
                catalog.index().remove(expired.getLong(i), expired.getLong(i + 1));
            }
        }
        synchronized (catalog.index()) {
            for (int remaining = MAX_MOVES_PER_INSTALL;
                    remaining > 0 && installed < moves.size();
                    remaining--, installed += 4) {
                long packed = moves.getLong(installed + 3);
                long to = Index.location(result.id(), (int) moves.getLong(installed + 2));
                if (catalog.index()
                        .move(moves.getLong(installed), moves.getLong(installed + 1), to, (int) (packed >>> 32), (int)
                                packed)) {
                    result.addLiveBytes(SegmentCatalog.liveBytesOf(packed >>> 32));
                }
            }
        }
        if (installed < moves.size()) {
            return true;
        }
        catalog.replace(run, result);
        return false;
    }

    /** Returns the input segments, which must be deleted, or renamed if they are damaged. */
    List<Segment> run() {
        return run;
    }

    Segment result() {
        return result;
    }

    @Override
    List<String> abort() {
        try {
            if (output != null) {
                output.close();
            }
        } catch (IOException e) {
            // the file is deleted next
        }
        releaseRun();
        return mayHaveFinalName ? List.of(newName(), parameters.name().toString()) : List.of(newName());
    }

    /** Releases the input segments, so that their files can be closed. */
    void releaseRun() {
        for (Segment segment : run) {
            try {
                segment.release();
            } catch (IOException e) {
                // the file was only read
            }
        }
    }

    @Override
    String kind() {
        return "compaction";
    }

    @Override
    long outputBytes() {
        return writtenBytes;
    }
}
