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
 * Writes what lives in a run of segments into one file in their place. The file has its name only when all
 * of it is on the disk; until then, and until every entry points to it, the old ones stand. A crash at any
 * moment leaves the old files, or the new one with or without them, and each of these says the same.
 */
final class CompactionJob extends MaintenanceJob {
    private static final int GROUP = 64 << 10;
    private static final int PIECE = 128 << 10;
    private static final int SYNC_EVERY = 1 << 20;
    private static final int INSTALL = 2_000;
    private static final int MOST_RECORDS = 4_096;

    /** What a job has to know beside its run. */
    record Parameters(
            SegmentName name, long mark, boolean clear, Set<Integer> cutsNeeded, long nowMs, long lossUntil) {}

    /** A record that has been copied into the group at {@code place}. */
    private record Copy(long hash, long from, int place, int length, int expiry) {}

    /** Keys that damage has taken from a place of an old file; the doubt stands at {@code place}. */
    private record Loss(LongArrayList hashes, boolean all, int place, long from) {}

    private final Disk disk;
    private final SegmentCatalog catalog;
    private final List<Segment> run;
    private final Parameters parameters;
    private final GroupEncoder group = new GroupEncoder();
    private final List<Copy> pending = new ArrayList<>();
    private final List<Loss> pendingLosses = new ArrayList<>();
    private final LongArrayList moves = new LongArrayList();
    private final List<Loss> losses = new ArrayList<>();
    private final LongArrayList expired = new LongArrayList();
    private DiskFile out;
    private long written;
    private long synced;
    private int input = -1;
    private SegmentScan scan;
    private long records;
    private long latestExpiry;
    private Segment result;
    private int installed;
    private boolean named;
    private boolean begun;
    private boolean dropsDoubts;

    CompactionJob(Disk disk, SegmentCatalog catalog, List<Segment> run, Parameters parameters) {
        this.disk = disk;
        this.catalog = catalog;
        this.run = List.copyOf(run);
        this.parameters = parameters;
        run.forEach(Segment::hold);
    }

    /** Leaves out what says that something was lost. */
    void dropDoubts(boolean drop) {
        dropsDoubts = drop;
    }

    private String newName() {
        return parameters.name() + SegmentName.NEW;
    }

    @Override
    boolean step() throws IOException {
        bytesMoved = 0;
        if (!begun) {
            begun = true;
            disk.delete(newName());
            out = disk.create(newName());
            write(FileHeader.write(parameters.name(), catalog.seed, parameters.mark(), parameters.nowMs()));
            group.begin(MOST_RECORDS);
            return true;
        }
        while (bytesMoved < PIECE) {
            if (scan == null && !nextInput()) {
                finish();
                return false;
            }
            long before = scan.read();
            SegmentScan.Step step = scan.next();
            bytesMoved += scan.read() - before;
            switch (step) {
                case RECORD -> record(scan);
                case DAMAGE -> damage();
                case END -> scan = null;
                default -> {}
            }
            if (group.size() >= GROUP || group.records() == MOST_RECORDS) {
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
        scan = new SegmentScan(one.file, one.name, 0, one.cut, false);
        return true;
    }

    private void record(SegmentScan at) {
        Format.Record record = at.record;
        switch (record.getKind()) {
            case PUT -> {
                long hash = catalog.hash(at);
                long from = Index.at(run.get(input).id, (int) at.at);
                long expires = record.getExpiresMs();
                if (SegmentCatalog.isOver(expires, parameters.nowMs())) {
                    // an older value must not come back, whether or not this one has been counted out
                    expired.addLong(hash);
                    expired.addLong(from);
                    delete(at);
                } else if (catalog.index.has(hash, from)) {
                    int place = group.add(hash, record);
                    pending.add(
                            new Copy(hash, from, place, group.length(place), SegmentCatalog.expirySeconds(expires)));
                    records++;
                    latestExpiry = Math.max(latestExpiry, expires == 0 ? Segment.NEVER : expires);
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
                if (!dropsDoubts && !SegmentCatalog.isOver(record.getDoubt().getUntilMs(), parameters.nowMs())) {
                    group.add(0, record);
                }
            }
            default -> {}
        }
    }

    /** What says that a key is gone is needed while an older file may still hold it. */
    private void delete(SegmentScan at) {
        if (!parameters.clear()) {
            group.add(catalog.hash(at), at.record.getKey().toByteArray(), null, 0);
        }
    }

    private void damage() {
        Segment segment = run.get(input);
        segment.damaged = true;
        LongArrayList lost = new LongArrayList();
        scan.lost.forEachOrderedLong(lost::addLong);
        int place = group.add(0, GroupEncoder.doubt(lost, scan.lostAll, parameters.lossUntil()));
        pendingLosses.add(new Loss(lost, scan.lostAll, place, Index.at(segment.id, (int) scan.at)));
    }

    private void flush() throws IOException {
        if (group.records() > 0) {
            ByteBuffer bytes = group.end(parameters.mark(), (int) written, (int) written);
            int base = (int) written + group.headSize();
            for (Copy one : pending) {
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
            if (written - synced >= SYNC_EVERY) {
                out.sync();
                synced = written;
            }
        }
        group.begin(MOST_RECORDS);
    }

    private void write(ByteBuffer bytes) throws IOException {
        int size = bytes.remaining();
        out.append(bytes);
        written += size;
        bytesMoved += size;
    }

    private void finish() throws IOException {
        flush();
        write(GroupEncoder.seal(parameters.mark(), (int) written));
        out.sync();
        named = true; // from here on the file may have its name, whatever a failure says
        disk.rename(newName(), parameters.name().toString());
        disk.syncNames();
    }

    @Override
    boolean install() {
        if (result == null) {
            result = new Segment(catalog.newId(), parameters.name(), out, written);
            result.records = records;
            result.latestExpiryMs = latestExpiry;
            catalog.register(result);
            synchronized (catalog.index) {
                losses.forEach(one -> catalog.markLost(
                        one.hashes(),
                        one.all(),
                        parameters.lossUntil(),
                        one.from(),
                        parameters.name().first(),
                        one.place()));
            }
            for (int i = 0; i < expired.size(); i += 2) {
                catalog.index.remove(expired.getLong(i), expired.getLong(i + 1));
            }
        }
        synchronized (catalog.index) {
            for (int left = INSTALL; left > 0 && installed < moves.size(); left--, installed += 4) {
                long packed = moves.getLong(installed + 3);
                long to = Index.at(result.id, (int) moves.getLong(installed + 2));
                if (catalog.index.move(
                        moves.getLong(installed), moves.getLong(installed + 1), to, (int) (packed >>> 32), (int)
                                packed)) {
                    result.liveBytes += SegmentCatalog.weight(packed >>> 32);
                }
            }
        }
        if (installed < moves.size()) {
            return true;
        }
        catalog.replace(run, result);
        return false;
    }

    /** The files it was made of: to be deleted, or kept aside where they were damaged. */
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
        return named ? List.of(newName(), parameters.name().toString()) : List.of(newName());
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
    long ownBytes() {
        return written;
    }
}
