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
 * Rebuilds the index from the files when a store is opened: the newest usable checkpoint, and the log behind
 * it. Acknowledged writes are kept, torn writes that were never acknowledged are cut off, and keys of damaged
 * records become suspected losses. For the thread that opens the store.
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

    /** What the store is opened for. */
    enum Purpose {
        READ_WRITE,
        /** For inspection: every file stays as it is. */
        READ_ONLY,
        /** As READ_ONLY, and the log is read completely, without a checkpoint. */
        VERIFY
    }

    Recovery(Disk disk, StoreSettings settings, EventLog log, long nowMillis, Purpose purpose) {
        this.disk = disk;
        this.settings = settings;
        this.log = log;
        this.nowMillis = nowMillis;
        this.purpose = purpose;
    }

    /** @throws StoreException if the folder holds what this program must not work on */
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
            open(files, random);
        } catch (IOException | RuntimeException e) {
            for (DiskFile file : files) {
                file.close();
            }
            throw e;
        }
    }

    private void open(List<DiskFile> files, LongSupplier random) throws IOException {
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
            SegmentCatalog fresh = catalog(seed != null ? seed : Checkpoints.seedOf(disk, name, random), files);
            checkpoint = Checkpoints.load(disk, name, fresh);
            if (checkpoint == null) {
                log.warn("store_checkpoint_unusable", "file", name);
            } else if (purpose == Purpose.VERIFY) {
                checkpoint = null;
            } else {
                catalog = fresh;
                break;
            }
        }
        if (catalog == null) {
            catalog = catalog(seed != null ? seed : random.getAsLong(), files);
        }
        replay();
        countLiveBytes();
        if (newest != null && purpose == Purpose.READ_WRITE) {
            newest.file().sync(); // a reader may see it from now on, and its seal is trusted
        }
    }

    private SegmentCatalog catalog(long seed, List<DiskFile> files) throws IOException {
        SegmentCatalog fresh = new SegmentCatalog(seed);
        for (int i = 0; i < files.size(); i++) {
            fresh.append(new Segment(
                    fresh.newId(),
                    layout.chain().get(i),
                    files.get(i),
                    files.get(i).size()));
        }
        return fresh;
    }

    private void replay() throws IOException {
        List<Segment> chain = catalog.chain();
        int last = chain.size() - 1;
        while (last >= 0 && hasNoAcknowledgedGroup(chain.get(last))) {
            Segment one = chain.get(last--);
            if (one.validBytes() > FileHeader.HEADER_BYTES) {
                log.warn(
                        "store_torn_tail",
                        "file",
                        one.name(),
                        "at",
                        FileHeader.HEADER_BYTES,
                        "bytes",
                        one.validBytes() - FileHeader.HEADER_BYTES);
                cutBytes += one.validBytes() - FileHeader.HEADER_BYTES;
            }
            one.setCutOffset(0);
            one.setValidBytes(0);
            pendingCuts.put(one.name().first(), 0);
            emptySegments++;
        }
        collectCuts(last);
        for (int gap : layout.gaps()) {
            log.error("store_file_lost", "before", gap);
            damages++;
            catalog.suspectedLosses().addAll(settings.lossUntilMillis(nowMillis), gap, 0);
        }
        for (int i = 0; i <= last; i++) {
            replay(chain.get(i), i == last);
        }
        if (checkpoint != null) {
            checkpoint.removeStaleEntries(catalog.index());
        }
    }

    /** Whether nothing in it was ever acknowledged: the file is there, and its first group is not. */
    private boolean hasNoAcknowledgedGroup(Segment segment) throws IOException {
        if (!segment.name().isOriginal() || checkpoint != null && checkpoint.covers(segment.name())) {
            return false;
        }
        SegmentScan scan = new SegmentScan(segment.file(), segment.name(), 0, SegmentScan.NO_CUT, true);
        SegmentScan.Step step = scan.nextOffset();
        while (step == SegmentScan.Step.GROUP) {
            step = scan.nextOffset();
        }
        return step == SegmentScan.Step.END && !scan.sealed();
    }

    /** The end of a segment without a seal is recorded in the first group of a later segment. */
    private void collectCuts(int last) throws IOException {
        for (int i = 0; i <= last; i++) {
            Segment segment = catalog.chain().get(i);
            if (checkpoint != null && checkpoint.covers(segment.name())) {
                continue;
            }
            SegmentScan scan = new SegmentScan(segment.file(), segment.name(), 0, SegmentScan.NO_CUT, true);
            SegmentScan.Step step = scan.nextOffset();
            while (step == SegmentScan.Step.GROUP
                    || step == SegmentScan.Step.RECORD && scan.record().getKind() == Format.Record.Kind.CUT) {
                if (step == SegmentScan.Step.RECORD) {
                    scan.record().getCutsList().forEach(cut -> cuts.put(cut.getSegment(), cut.getLength()));
                }
                step = scan.nextOffset();
            }
        }
    }

    private void replay(Segment segment, boolean isNewest) throws IOException {
        long from = 0;
        boolean again = false;
        if (checkpoint != null) {
            Checkpoints.KnownSegment known = checkpoint.known(segment.name());
            again = checkpoint.isStale(segment);
            if (known != null) {
                segment.setRecords(known.records(), known.latestExpiryMs());
                segment.setCutOffset(known.cut());
            }
            if (checkpoint.covers(segment.name())) {
                segment.setValidBytes(
                        segment.cutOffset() == SegmentScan.NO_CUT ? segment.validBytes() : segment.cutOffset());
                return;
            }
            from = known != null && !again ? checkpoint.offset() : 0;
        }
        Integer cut = segment.name().isOriginal() ? cuts.get(segment.name().first()) : null;
        if (cut != null && !isNewest) {
            segment.setCutOffset(cut);
        }
        SegmentScan scan = new SegmentScan(segment.file(), segment.name(), from, segment.cutOffset(), isNewest);
        for (SegmentScan.Step step = scan.nextOffset(); step != SegmentScan.Step.END; step = scan.nextOffset()) {
            if (step == SegmentScan.Step.RECORD) {
                replayed++;
                apply(segment, scan, again);
            } else if (step == SegmentScan.Step.DAMAGE) {
                damage(segment, scan);
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

    private void damage(Segment segment, SegmentScan scan) {
        damages++;
        segment.markDamaged();
        log.error(
                "store_damage",
                "file",
                segment.name(),
                "at",
                scan.offset(),
                "keys",
                scan.lostAll() ? "unknown" : scan.lostHashes().size());
        int offset = (int) scan.offset();
        catalog.recordLoss(
                scan.lostHashes(),
                scan.lostAll(),
                settings.lossUntilMillis(nowMillis),
                Index.location(segment.id(), offset),
                segment.name().first(),
                offset);
    }

    private void apply(Segment segment, SegmentScan scan, boolean again) throws IOException {
        Format.Record record = scan.record();
        long at = Index.location(segment.id(), (int) scan.offset());
        switch (record.getKind()) {
            case PUT -> {
                segment.countRecord(record.getExpiresMs());
                long hash = catalog.hash(scan);
                boolean living = !SegmentCatalog.hasExpired(record.getExpiresMs(), nowMillis);
                int expiry = SegmentCatalog.expirySeconds(record.getExpiresMs());
                if (again && checkpoint.repoint(catalog.index(), segment, hash, at, scan.frameBytes(), expiry)) {
                    return;
                }
                if (!(again && checkpoint.precedesCheckpoint(segment.name()))) {
                    put(hash, record.getKey().toByteArray(), at, scan.frameBytes(), expiry, living);
                }
            }
            case DELETE -> put(catalog.hash(scan), record.getKey().toByteArray(), at, 0, 0, false);
            case DOUBT -> {
                Format.Doubt loss = record.getDoubt();
                if (!SegmentCatalog.hasExpired(loss.getUntilMs(), nowMillis)) {
                    LongArrayList hashes = new LongArrayList();
                    loss.getHashesList().forEach(hashes::addLong);
                    catalog.recordLoss(
                            hashes,
                            loss.getAll(),
                            loss.getUntilMs(),
                            at,
                            segment.name().first(),
                            (int) scan.offset());
                }
            }
            default -> {}
        }
    }

    /** A write of a key: replaces an older entry, and is ignored if there is a newer one. */
    private void put(long hash, byte[] key, long at, int length, int expiry, boolean living) throws IOException {
        long there = 0;
        List<long[]> found = new ArrayList<>(1);
        catalog.index().find(hash, (h, place, size, e) -> found.add(new long[] {place, size}));
        for (long[] one : found) {
            if (catalog.byId(Index.file(one[0])) != null && catalog.hasKey(one[0], (int) one[1], key)) {
                if (!catalog.isBefore(one[0], at)) {
                    return;
                }
                there = one[0];
            }
        }
        if (there != 0 && living) {
            catalog.index().move(hash, there, at, length, expiry);
        } else if (there != 0) {
            catalog.index().remove(hash, there);
        } else if (living) {
            catalog.index().add(hash, at, length, expiry);
        }
    }

    private void countLiveBytes() {
        for (int table = 0; table < Index.TABLES; table++) {
            catalog.index().copy(table, (hash, at, length, expiry) -> catalog.addLiveBytes(at, length));
        }
    }

    SegmentCatalog catalog() {
        return catalog;
    }

    Layout layout() {
        return layout;
    }

    /** The cuts that the next group has to record. */
    TreeMap<Integer, Integer> pendingCuts() {
        return pendingCuts;
    }

    /** Files in which something is lost. */
    List<Segment> damaged() {
        return catalog.chain().stream().filter(one -> one.isDamaged()).toList();
    }

    /** What was done, for the log and the tools. */
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
     * @param keys that are held now
     * @param replayedRecords of the log, behind the checkpoint
     * @param cutBytes that were never acknowledged
     * @param damages places where something was lost
     * @param emptySegments segments that were created and hold no acknowledged group
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
