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
 * Compacts a run of segments: copies their live records into one new segment that replaces them. The new file
 * gets its name only once all of it is synced, and the old files stay until every index entry points to the new
 * one. After a crash at any point the folder holds the old files, the new file, or both, and each of these has
 * the same content.
 *
 * <p>The background thread calls {@link #step}, the writer's thread the rest. The job holds the old segments
 * open from its creation until {@link #releaseRun}, or {@link #abort} after a failure.
 */
final class CompactionJob extends MaintenanceJob {
    private static final int GROUP_BYTES = 64 << 10;
    private static final int STEP_BYTES = 128 << 10;
    private static final int SYNC_INTERVAL_BYTES = 1 << 20;
    private static final int MAX_MOVES_PER_INSTALL = 2_000;
    private static final int MAX_GROUP_RECORDS = 4_096;

    /** The parameters of a compaction beside its segments. */
    record Parameters(
            SegmentName name,
            long mark,
            boolean canDropTombstones,
            Set<Integer> cutsNeeded,
            long nowMillis,
            long lossUntilMillis) {}

    /** A record that has been copied into the group at {@code place}. */
    private record CopiedRecord(long hash, long from, int place, int length, int expiry) {}

    /** Keys lost to damage at a place of an old file; the record of the loss stands at {@code place}. */
    private record Loss(LongArrayList hashes, boolean all, int place, long from) {}

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
    private DiskFile out;
    private long writtenBytes;
    private long syncedBytes;
    private int input = -1;
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

    /** Leaves out the records of suspected losses. */
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
            out = disk.create(newName());
            write(FileHeader.write(parameters.name(), catalog.seed(), parameters.mark(), parameters.nowMillis()));
            group.startGroup(MAX_GROUP_RECORDS);
            return true;
        }
        while (bytesMoved() < STEP_BYTES) {
            if (scan == null && !nextInput()) {
                finish();
                return false;
            }
            long before = scan.bytesRead();
            SegmentScan.Step step = scan.nextOffset();
            addBytesMoved(scan.bytesRead() - before);
            switch (step) {
                case RECORD -> record(scan);
                case DAMAGE -> damage();
                case END -> scan = null;
                default -> {}
            }
            if (group.size() >= GROUP_BYTES || group.records() == MAX_GROUP_RECORDS) {
                flush();
            }
        }
        return true;
    }

    private boolean nextInput() throws IOException {
        input++;
        if (input >= run.size()) {
            return false;
        }
        Segment one = run.get(input);
        scan = new SegmentScan(one.file(), one.name(), 0, one.cutOffset(), false);
        return true;
    }

    private void record(SegmentScan at) {
        Format.Record record = at.record();
        switch (record.getKind()) {
            case PUT -> {
                long hash = catalog.hash(at);
                long from = Index.location(run.get(input).id(), (int) at.offset());
                long expires = record.getExpiresMs();
                if (SegmentCatalog.hasExpired(expires, parameters.nowMillis())) {
                    // an older value must not come back, whether or not this one has been counted out
                    expired.addLong(hash);
                    expired.addLong(from);
                    delete(at);
                } else if (catalog.index().has(hash, from)) {
                    int place = group.add(hash, record);
                    pending.add(new CopiedRecord(
                            hash, from, place, group.length(place), SegmentCatalog.expirySeconds(expires)));
                    records++;
                    latestExpiryMillis =
                            Math.max(latestExpiryMillis, expires == 0 ? Segment.NEVER_EXPIRES_MILLIS : expires);
                }
            }
            case DELETE -> delete(at);
            case CUT -> {
                Map<Integer, Integer> kept = new TreeMap<>();
                record.getCutsList().stream()
                        .filter(cut -> parameters.cutsNeeded().contains(cut.getSegment()))
                        .forEach(cut -> kept.put(cut.getSegment(), cut.getLength()));
                if (!kept.isEmpty()) {
                    group.add(0, GroupEncoder.cuts(kept));
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

    /** A tombstone is kept while an older segment may still hold the key. */
    private void delete(SegmentScan at) {
        if (!parameters.canDropTombstones()) {
            group.add(catalog.hash(at), at.record().getKey().toByteArray(), null, 0);
        }
    }

    private void damage() {
        Segment segment = run.get(input);
        segment.markDamaged();
        LongArrayList lost = new LongArrayList();
        scan.lostHashes().forEachOrderedLong(lost::addLong);
        int place = group.add(0, GroupEncoder.suspectedLoss(lost, scan.lostAll(), parameters.lossUntilMillis()));
        pendingLosses.add(new Loss(lost, scan.lostAll(), place, Index.location(segment.id(), (int) scan.offset())));
    }

    private void flush() throws IOException {
        if (group.records() > 0) {
            ByteBuffer bytes = group.end(parameters.mark(), (int) writtenBytes, (int) writtenBytes);
            int base = (int) writtenBytes + group.groupFrameBytes();
            for (CopiedRecord one : pending) {
                moves.addLong(one.hash());
                moves.addLong(one.from());
                moves.addLong(base + one.place());
                moves.addLong((long) one.length() << 32 | one.expiry() & 0xFFFF_FFFFL);
            }
            for (Loss one : pendingLosses) {
                losses.add(new Loss(one.hashes(), one.all(), base + one.place(), one.from()));
            }
            pending.clear();
            pendingLosses.clear();
            write(bytes);
            if (writtenBytes - syncedBytes >= SYNC_INTERVAL_BYTES) {
                out.sync();
                syncedBytes = writtenBytes;
            }
        }
        group.startGroup(MAX_GROUP_RECORDS);
    }

    private void write(ByteBuffer bytes) throws IOException {
        int size = bytes.remaining();
        out.append(bytes);
        writtenBytes += size;
        addBytesMoved(size);
    }

    private void finish() throws IOException {
        flush();
        write(GroupEncoder.seal(parameters.mark(), (int) writtenBytes));
        out.sync();
        mayHaveFinalName = true; // from here on the file may have its name, whatever a failure says
        disk.rename(newName(), parameters.name().toString());
        disk.syncNames();
    }

    @Override
    boolean install() {
        if (result == null) {
            result = new Segment(catalog.newId(), parameters.name(), out, writtenBytes);
            result.setRecords(records, latestExpiryMillis);
            catalog.register(result);
            synchronized (catalog.index()) {
                losses.forEach(one -> catalog.recordLoss(
                        one.hashes(),
                        one.all(),
                        parameters.lossUntilMillis(),
                        one.from(),
                        parameters.name().first(),
                        one.place()));
            }
            for (int i = 0; i < expired.size(); i += 2) {
                catalog.index().remove(expired.getLong(i), expired.getLong(i + 1));
            }
        }
        synchronized (catalog.index()) {
            for (int left = MAX_MOVES_PER_INSTALL; left > 0 && installed < moves.size(); left--, installed += 4) {
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

    /** The files it was made of: to be deleted, or renamed if they are damaged. */
    List<Segment> run() {
        return run;
    }

    Segment result() {
        return result;
    }

    @Override
    List<String> abort() {
        try {
            if (out != null) {
                out.close();
            }
        } catch (IOException e) {
            // what it held is deleted next
        }
        releaseRun();
        return mayHaveFinalName ? List.of(newName(), parameters.name().toString()) : List.of(newName());
    }

    /** Lets the old files be closed. */
    void releaseRun() {
        for (Segment one : run) {
            try {
                one.release();
            } catch (IOException e) {
                // it was only read
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
