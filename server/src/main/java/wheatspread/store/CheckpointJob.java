package wheatspread.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import wheatspread.disk.Disk;
import wheatspread.disk.DiskFile;

/**
 * Writes a checkpoint of the index, one table at a time, while writes continue (a fuzzy checkpoint): an entry may be
 * older or newer than the log position that the checkpoint records, and replaying the log from that position corrects
 * the entry. The background thread calls {@link #step}, the writer thread all other methods.
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
    private DiskFile output;
    private int table = -1;
    private long entries;
    private long writtenBytes;
    private boolean done;

    /**
     * Creates a job that has written nothing yet.
     *
     * @param segment the number of the segment at which replay starts; the index contains all of the log before {@code
     *     offset} in this segment
     * @param requiresWriterSync whether the writer must sync and then call {@link #publish}
     */
    CheckpointJob(
            Disk disk,
            SegmentCatalog catalog,
            long number,
            int segment,
            int offset,
            long nowMillis,
            boolean requiresWriterSync) {
        this.disk = disk;
        this.catalog = catalog;
        this.name = Layout.checkpointName(number);
        this.segment = segment;
        this.offset = offset;
        this.nowMillis = nowMillis;
        this.requiresWriterSync = requiresWriterSync;
        catalog.suspectedLosses().save(end);
    }

    @Override
    boolean step() throws IOException {
        resetBytesMoved();
        if (table < 0) {
            disk.delete(name + SegmentName.TEMPORARY_SUFFIX);
            output = disk.create(name + SegmentName.TEMPORARY_SUFFIX);
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
            writeTable(table);
        } else {
            finish();
            return false;
        }
        table++;
        return true;
    }

    private void writeTable(int tableIndex) throws IOException {
        Format.CheckpointEntries.Builder[] chunk = {Format.CheckpointEntries.newBuilder()};
        IOException[] failure = new IOException[1];
        catalog.index().copy(tableIndex, (hash, location, length, expiry) -> {
            chunk[0].addHashes(hash)
                    .addFiles(Index.file(location))
                    .addOffsets(Index.offset(location))
                    .addLengths(length)
                    .addExpiries(expiry);
            if (chunk[0].getHashesCount() == MAX_FRAME_ENTRIES && failure[0] == null) {
                try {
                    writeEntries(chunk[0]);
                } catch (IOException e) {
                    failure[0] = e;
                }
                chunk[0] = Format.CheckpointEntries.newBuilder();
            }
        });
        if (failure[0] != null) {
            throw failure[0];
        }
        writeEntries(chunk[0]);
    }

    private void writeEntries(Format.CheckpointEntries.Builder chunk) throws IOException {
        if (chunk.getHashesCount() > 0) {
            entries += chunk.getHashesCount();
            write(Checkpoints.frame(
                    Format.CheckpointFrame.newBuilder().setEntries(chunk).build(), false));
        }
    }

    private void finish() throws IOException {
        for (Segment logSegment : catalog.snapshot()) {
            Format.CheckpointEnd.File.Builder file = Format.CheckpointEnd.File.newBuilder()
                    .setId(logSegment.id())
                    .setName(logSegment.name().toString())
                    .setLatestExpiryMs(logSegment.latestExpiryMillis())
                    .setRecords(logSegment.recordCount());
            if (logSegment.cutOffset() != SegmentScan.NO_CUT) {
                file.setCut(logSegment.cutOffset());
            }
            end.addFiles(file);
        }
        write(Checkpoints.frame(
                Format.CheckpointFrame.newBuilder()
                        .setEnd(end.setEntries(entries))
                        .build(),
                true));
        output.sync();
        output.close();
        done = true;
        if (!requiresWriterSync) {
            publish();
        }
    }

    /**
     * Renames the file to its final name. If entries may belong to writes that were acknowledged without a sync, the
     * writer must sync those writes first. No other thread may do so, because the operating system reports a failed
     * write-back only once per open file, and the writer must receive that error.
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
        output.append(bytes);
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
            if (output != null && !done) {
                output.close();
            }
        } catch (IOException e) {
            // the file is deleted next
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
