package wheatspread.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import wheatspread.disk.Disk;
import wheatspread.disk.DiskFile;

/**
 * Writes a checkpoint of the index, one of its tables at a time while writes go on (a fuzzy checkpoint): an
 * entry may be older or newer than the place of the log that the checkpoint names, and replaying the log from
 * that place corrects it. The background thread calls {@link #step}, the writer's thread the rest.
 */
final class CheckpointJob extends MaintenanceJob {
    private static final int MAX_FRAME_ENTRIES = 4_096;

    private final Disk disk;
    private final SegmentCatalog catalog;
    private final String name;
    private final int segment;
    private final int offset;
    private final long nowMillis;
    private final boolean requiresWriterSync;
    private final Format.CheckpointEnd.Builder end = Format.CheckpointEnd.newBuilder();
    private DiskFile out;
    private int table = -1;
    private long entries;
    private long writtenBytes;
    private boolean done;

    /**
     * Begins.
     *
     * @param segment all of the log before this number and offset is in the index
     * @param requiresWriterSync whether the writer has to sync, and then {@link #publish}
     */
    CheckpointJob(
            Disk disk, SegmentCatalog catalog, long number, int segment, int offset, long nowMillis, boolean waits) {
        this.disk = disk;
        this.catalog = catalog;
        this.name = Layout.checkpointName(number);
        this.segment = segment;
        this.offset = offset;
        this.nowMillis = nowMillis;
        this.requiresWriterSync = waits;
        catalog.suspectedLosses().save(end);
    }

    @Override
    boolean step() throws IOException {
        resetBytesMoved();
        if (table < 0) {
            disk.delete(name + SegmentName.TEMPORARY_SUFFIX);
            out = disk.create(name + SegmentName.TEMPORARY_SUFFIX);
            write(Checkpoints.preamble());
            write(Checkpoints.frame(
                    Format.CheckpointFrame.newBuilder()
                            .setHead(Format.CheckpointHead.newBuilder()
                                    .setSeed(catalog.seed())
                                    .setSegment(segment)
                                    .setOffset(offset)
                                    .setCreatedMs(nowMillis))
                            .build(),
                    false));
        } else if (table < Index.TABLES) {
            table(table);
        } else {
            finish();
            return false;
        }
        table++;
        return true;
    }

    private void table(int which) throws IOException {
        Format.CheckpointEntries.Builder[] chunk = {Format.CheckpointEntries.newBuilder()};
        IOException[] failed = new IOException[1];
        catalog.index().copy(which, (hash, at, length, expiry) -> {
            chunk[0].addHashes(hash)
                    .addFiles(Index.file(at))
                    .addOffsets(Index.offset(at))
                    .addLengths(length)
                    .addExpiries(expiry);
            if (chunk[0].getHashesCount() == MAX_FRAME_ENTRIES && failed[0] == null) {
                try {
                    flush(chunk[0]);
                } catch (IOException e) {
                    failed[0] = e;
                }
                chunk[0] = Format.CheckpointEntries.newBuilder();
            }
        });
        if (failed[0] != null) {
            throw failed[0];
        }
        flush(chunk[0]);
    }

    private void flush(Format.CheckpointEntries.Builder chunk) throws IOException {
        if (chunk.getHashesCount() > 0) {
            entries += chunk.getHashesCount();
            write(Checkpoints.frame(
                    Format.CheckpointFrame.newBuilder().setEntries(chunk).build(), false));
        }
    }

    private void finish() throws IOException {
        for (Segment one : catalog.snapshot()) {
            Format.CheckpointEnd.File.Builder file = Format.CheckpointEnd.File.newBuilder()
                    .setId(one.id())
                    .setName(one.name().toString())
                    .setLatestExpiryMs(one.latestExpiryMillis())
                    .setRecords(one.recordCount());
            if (one.cutOffset() != SegmentScan.NO_CUT) {
                file.setCut(one.cutOffset());
            }
            end.addFiles(file);
        }
        write(Checkpoints.frame(
                Format.CheckpointFrame.newBuilder()
                        .setEnd(end.setEntries(entries))
                        .build(),
                true));
        out.sync();
        out.close();
        done = true;
        if (!requiresWriterSync) {
            publish();
        }
    }

    /**
     * Gives the file its name. Entries may belong to writes that were acknowledged without a sync: then the writer
     * syncs them first. No other thread may, because the operating system reports a failed write-back once per open
     * file, and the writer has to see it.
     */
    void publish() throws IOException {
        disk.rename(name + SegmentName.TEMPORARY_SUFFIX, name);
        disk.syncNames();
    }

    boolean requiresWriterSync() {
        return requiresWriterSync;
    }

    private void write(ByteBuffer bytes) throws IOException {
        int size = bytes.remaining();
        out.append(bytes);
        writtenBytes += size;
        addBytesMoved(size);
    }

    String name() {
        return name;
    }

    @Override
    boolean install() {
        return false;
    }

    @Override
    List<String> abort() {
        try {
            if (out != null && !done) {
                out.close();
            }
        } catch (IOException e) {
            // what it held is deleted next
        }
        return List.of(name + SegmentName.TEMPORARY_SUFFIX, name);
    }

    @Override
    String kind() {
        return "checkpoint";
    }

    @Override
    long outputBytes() {
        return writtenBytes;
    }
}
