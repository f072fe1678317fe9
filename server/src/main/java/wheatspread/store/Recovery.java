package wheatspread.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.agrona.collections.LongArrayList;
import wheatspread.disk.Disk;
import wheatspread.disk.DiskFile;
import wheatspread.logging.EventLog;

/**
 * Rebuilds the index from the files when a store is opened: loads the newest usable checkpoint and
 * replays the log after it. Acknowledged writes are kept, torn writes that were never acknowledged are cut off, and
 * keys of damaged records become suspected losses. Confined to the thread that opens the store.
 */
final class Recovery {
    private final Disk disk;
    private final StoreSettings settings;
    private final EventLog log;
    private final long nowMillis;
    private final Purpose purpose;

    private SegmentCatalog catalog;
    private final TreeMap<Integer, Integer> pendingCuts = new TreeMap<>();
    private final Map<Integer, Integer> cuts = new HashMap<>();
    private Layout layout;
    private Checkpoints.Loaded checkpoint;
    private Segment newest;
    private int emptySegments;
    private long readBytes;
    private long cutBytes;
    private long damages;
    private long replayed;

    /** The purpose for which the store is opened. */
    enum Purpose {
        READ_WRITE,
        /** Inspection; no file is changed. */
        READ_ONLY,
        /** Like READ_ONLY, but reads the whole log instead of a checkpoint. */
        VERIFY
    }

    Recovery(Disk disk, StoreSettings settings, EventLog log, long nowMillis, Purpose purpose) {
        this.disk = disk;
        this.settings = settings;
        this.log = log;
        this.nowMillis = nowMillis;
        this.purpose = purpose;
    }

    /**
     * Opens the files and rebuilds the index.
     *
     * @throws StoreException if the folder contains files that this program cannot or must not use
     */
    void run(LongSupplier random) throws IOException {
        layout = Layout.of(disk.list());
        if (purpose == Purpose.READ_WRITE) {
            disk.syncNames(); // a replaced file is deleted only once the name of its replacement is durable
            for (String name : layout.leftovers()) {
                disk.delete(name);
            }
        }
        List<DiskFile> files = new ArrayList<>();
        try {
            openSegments(files, random);
        } catch (IOException | RuntimeException e) {
            for (DiskFile file : files) {
                file.close();
            }
            throw e;
        }
    }

    private void openSegments(List<DiskFile> files, LongSupplier random) throws IOException {
        Long seed = null;
        for (SegmentName name : layout.chain()) {
            DiskFile file = disk.open(name.toString());
            files.add(file);
            Format.SegmentHeader header = FileHeader.read(file, name);
            if (header != null && seed != null && header.getSeed() != seed) {
                throw MisplacedSegmentException.ofAnotherStore(name);
            }
            seed = header != null ? Long.valueOf(header.getSeed()) : seed;
        }
        for (String name : layout.checkpoints()) {
            SegmentCatalog newCatalog =
                    createCatalog(seed != null ? seed : Checkpoints.seedOf(disk, name, random), files);
            checkpoint = Checkpoints.load(disk, name, newCatalog);
            if (checkpoint == null) {
                log.warn("store_checkpoint_unusable", "file", name);
            } else if (purpose == Purpose.VERIFY) {
                checkpoint = null;
            } else {
                catalog = newCatalog;
                break;
            }
        }
        if (catalog == null) {
            catalog = createCatalog(seed != null ? seed : random.getAsLong(), files);
        }
        replay();
        countLiveBytes();
        if (newest != null && purpose == Purpose.READ_WRITE) {
            newest.file().sync(); // readers may see the records of this segment, and later starts trust its seal
        }
    }

    private SegmentCatalog createCatalog(long seed, List<DiskFile> files) throws IOException {
        SegmentCatalog newCatalog = new SegmentCatalog(seed);
        for (int i = 0; i < files.size(); i++) {
            newCatalog.append(new Segment(
                    newCatalog.newId(),
                    layout.chain().get(i),
                    files.get(i),
                    files.get(i).size()));
        }
        return newCatalog;
    }

    private void replay() throws IOException {
        List<Segment> chain = catalog.chain();
        int last = chain.size() - 1;
        while (last >= 0 && hasNoAcknowledgedGroup(chain.get(last))) {
            Segment unused = chain.get(last--);
            if (unused.validBytes() > FileHeader.HEADER_BYTES) {
                log.warn(
                        "store_torn_tail",
                        "file",
                        unused.name(),
                        "at",
                        FileHeader.HEADER_BYTES,
                        "bytes",
                        unused.validBytes() - FileHeader.HEADER_BYTES);
                cutBytes += unused.validBytes() - FileHeader.HEADER_BYTES;
            }
            unused.setCutOffset(0);
            unused.setValidBytes(0);
            pendingCuts.put(unused.name().first(), 0);
            emptySegments++;
        }
        collectCuts(last);
        for (int gap : layout.gaps()) {
            log.error("store_file_lost", "before", gap);
            damages++;
            catalog.suspectedLosses().addUnknownKeys(settings.lossUntilMillis(nowMillis), gap, 0);
        }
        for (int i = 0; i <= last; i++) {
            replay(chain.get(i), i == last);
        }
        if (checkpoint != null) {
            checkpoint.removeStaleEntries(catalog.index());
        }
    }

    /** Returns whether no write of a segment was ever acknowledged, because its first group is incomplete. */
    private boolean hasNoAcknowledgedGroup(Segment segment) throws IOException {
        if (!segment.name().isOriginal() || checkpoint != null && checkpoint.covers(segment.name())) {
            return false;
        }
        SegmentScan scan = new SegmentScan(segment.file(), segment.name(), 0, SegmentScan.NO_CUT, true);
        SegmentScan.Step step = scan.advance();
        while (step == SegmentScan.Step.GROUP) {
            step = scan.advance();
        }
        return step == SegmentScan.Step.END && !scan.sealed();
    }

    /** Reads where segments without a seal end, which is recorded in the first group of a later segment. */
    private void collectCuts(int last) throws IOException {
        for (int i = 0; i <= last; i++) {
            Segment segment = catalog.chain().get(i);
            if (checkpoint != null && checkpoint.covers(segment.name())) {
                continue;
            }
            SegmentScan scan = new SegmentScan(segment.file(), segment.name(), 0, SegmentScan.NO_CUT, true);
            SegmentScan.Step step = scan.advance();
            while (step == SegmentScan.Step.GROUP
                    || step == SegmentScan.Step.RECORD && scan.record().getKind() == Format.Record.Kind.CUT) {
                if (step == SegmentScan.Step.RECORD) {
                    scan.record().getCutsList().forEach(cut -> cuts.put(cut.getSegment(), cut.getLength()));
                }
                step = scan.advance();
            }
        }
    }

    private void replay(Segment segment, boolean isNewest) throws IOException {
        long from = 0;
        boolean hasStaleEntries = false;
        if (checkpoint != null) {
            Checkpoints.KnownSegment known = checkpoint.known(segment.name());
            hasStaleEntries = checkpoint.isStale(segment);
            if (known != null) {
                segment.setRecords(known.records(), known.latestExpiryMs());
                segment.setCutOffset(known.cut());
            }
            if (checkpoint.covers(segment.name())) {
                segment.setValidBytes(
                        segment.cutOffset() == SegmentScan.NO_CUT ? segment.validBytes() : segment.cutOffset());
                return;
            }
            from = checkpoint.replayStart(segment);
        }
        Integer cut = segment.name().isOriginal() ? cuts.get(segment.name().first()) : null;
        if (cut != null && !isNewest) {
            segment.setCutOffset(cut);
        }
        SegmentScan scan = new SegmentScan(segment.file(), segment.name(), from, segment.cutOffset(), isNewest);
        for (SegmentScan.Step step = scan.advance(); step != SegmentScan.Step.END; step = scan.advance()) {
            if (step == SegmentScan.Step.RECORD) {
                replayed++;
                apply(segment, scan, hasStaleEntries);
            } else if (step == SegmentScan.Step.DAMAGE) {
                recordDamage(segment, scan);
            }
        }
        readBytes += scan.bytesRead();
        long size = segment.validBytes();
        if (scan.end() == SegmentScan.End.TORN || scan.end() == SegmentScan.End.CUT) {
            segment.setValidBytes(Math.min(size, scan.offset()));
            cutBytes += size - segment.validBytes();
        }
        newest = isNewest ? segment : newest;
        if (isNewest && scan.end() != SegmentScan.End.SEALED) {
            segment.setCutOffset((int) segment.validBytes());
            pendingCuts.put(segment.name().first(), segment.cutOffset());
            if (size > segment.validBytes()) {
                log.warn(
                        "store_torn_tail",
                        "file",
                        segment.name(),
                        "at",
                        segment.validBytes(),
                        "bytes",
                        size - segment.validBytes());
            }
        }
    }

    private void recordDamage(Segment segment, SegmentScan scan) {
        damages++;
        segment.markDamaged();
        log.error(
                "store_damage",
                "file",
                segment.name(),
                "at",
                scan.offset(),
                "keys",
                scan.lostUnknownKeys() ? "unknown" : scan.lostHashes().size());
        int offset = (int) scan.offset();
        catalog.recordLoss(
                scan.lostHashes(),
                scan.lostUnknownKeys(),
                settings.lossUntilMillis(nowMillis),
                Index.location(segment.id(), offset),
                segment.name().first(),
                offset);
    }

    private void apply(Segment segment, SegmentScan scan, boolean hasStaleEntries) throws IOException {
        Format.Record record = scan.record();
        long recordLocation = Index.location(segment.id(), (int) scan.offset());
        switch (record.getKind()) {
            case PUT -> {
                segment.countRecord(record.getExpiresMs());
                long hash = catalog.hash(scan);
                boolean isLive = !SegmentCatalog.hasExpired(record.getExpiresMs(), nowMillis);
                int expiry = SegmentCatalog.expirySeconds(record.getExpiresMs());
                if (hasStaleEntries
                        && checkpoint.repoint(
                                catalog.index(), segment, hash, recordLocation, scan.frameBytes(), expiry)) {
                    return;
                }
                if (!(hasStaleEntries && checkpoint.precedesCheckpoint(segment.name()))) {
                    applyWrite(hash, record.getKey().toByteArray(), recordLocation, scan.frameBytes(), expiry, isLive);
                }
            }
            case DELETE -> applyWrite(catalog.hash(scan), record.getKey().toByteArray(), recordLocation, 0, 0, false);
            case DOUBT -> {
                Format.Doubt loss = record.getDoubt();
                if (!SegmentCatalog.hasExpired(loss.getUntilMs(), nowMillis)) {
                    LongArrayList hashes = new LongArrayList();
                    loss.getHashesList().forEach(hashes::addLong);
                    catalog.recordLoss(
                            hashes,
                            loss.getAll(),
                            loss.getUntilMs(),
                            recordLocation,
                            segment.name().first(),
                            (int) scan.offset());
                }
            }
            default -> {}
        }
    }

    /** Applies a write of a key: the write replaces an older entry, and is ignored if there is a newer entry. */
    private void applyWrite(long hash, byte[] key, long recordLocation, int length, int expiry, boolean isLive)
            throws IOException {
        long existing = 0;
        List<long[]> candidates = new ArrayList<>(1);
        catalog.index().find(hash, (h, location, size, e) -> candidates.add(new long[] {location, size}));
        for (long[] candidate : candidates) {
            if (catalog.byId(Index.file(candidate[0])) != null
                    && catalog.hasKey(candidate[0], (int) candidate[1], key)) {
                if (!catalog.isBefore(candidate[0], recordLocation)) {
                    return;
                }
                existing = candidate[0];
            }
        }
        if (existing != 0 && isLive) {
            catalog.index().move(hash, existing, recordLocation, length, expiry);
        } else if (existing != 0) {
            catalog.index().remove(hash, existing);
        } else if (isLive) {
            catalog.index().add(hash, recordLocation, length, expiry);
        }
    }

    private void countLiveBytes() {
        for (int table = 0; table < Index.TABLES; table++) {
            catalog.index().copy(table, (hash, location, length, expiry) -> catalog.addLiveBytes(location, length));
        }
    }

    SegmentCatalog catalog() {
        return catalog;
    }

    Layout layout() {
        return layout;
    }

    /** Returns the cuts that the next group must record, as number and length in bytes of the segment. */
    TreeMap<Integer, Integer> pendingCuts() {
        return pendingCuts;
    }

    /** Returns the segments in which records were lost to damage. */
    List<Segment> damaged() {
        return catalog.chain().stream().filter(segment -> segment.isDamaged()).toList();
    }

    /** Returns a summary for the log and the tools. */
    Report report() {
        return new Report(
                catalog.chain().size(),
                catalog.index().size(),
                replayed,
                readBytes,
                cutBytes,
                damages,
                emptySegments,
                checkpoint != null);
    }

    /**
     * The summary of a recovery.
     *
     * @param keys the number of keys in the index
     * @param replayedRecords the records replayed from the log after the checkpoint
     * @param readBytes the bytes of the log that were read
     * @param cutBytes the bytes of torn writes, which were never acknowledged
     * @param damages the number of places at which records were lost
     * @param emptySegments the segments that contain no acknowledged group
     */
    record Report(
            int segments,
            int keys,
            long replayedRecords,
            long readBytes,
            long cutBytes,
            long damages,
            int emptySegments,
            boolean fromCheckpoint) {}
}
