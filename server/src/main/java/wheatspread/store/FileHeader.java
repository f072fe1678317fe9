package wheatspread.store;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.LongSupplier;
import wheatspread.disk.DiskFile;

/**
 * Reads and writes the header of a segment, which contains the same block twice, so that the header remains readable
 * if one block is damaged. Stateless.
 */
final class FileHeader {
    /** The length of the header, which is the offset of the first group. */
    static final int HEADER_BYTES = 256;

    static final int VERSION = 1;
    private static final byte[] MAGIC = "wheatlog".getBytes(StandardCharsets.US_ASCII);
    private static final int BLOCK_BYTES = HEADER_BYTES / 2;

    private FileHeader() {}

    /** Draws the mark of a new file, which each group of the file repeats; never 0, which stands for no mark. */
    static long newMark(LongSupplier random) {
        long drawn = random.getAsLong();
        return drawn == 0 ? 1 : drawn;
    }

    static ByteBuffer write(SegmentName name, long seed, long mark, long createdMillis) {
        Format.SegmentHeader header = Format.SegmentHeader.newBuilder()
                .setFirst(name.first())
                .setLast(name.last())
                .setGeneration(name.generation())
                .setSeed(seed)
                .setMark(mark)
                .setCreatedMs(createdMillis)
                .build();
        ByteBuffer bytes = ByteBuffer.allocate(HEADER_BYTES);
        for (int blockOffset = 0; blockOffset < HEADER_BYTES; blockOffset += BLOCK_BYTES) {
            bytes.position(blockOffset).put(MAGIC).putInt(VERSION);
            RecordFraming.write(ByteBuffer.wrap(header.toByteArray()), bytes);
        }
        return bytes.clear();
    }

    /**
     * Returns the header, or null if neither block is complete.
     *
     * @throws StoreException if the format version is not supported, or the header names another file
     */
    static Format.SegmentHeader read(DiskFile file, SegmentName name) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate(HEADER_BYTES);
        file.read(bytes, 0);
        bytes.flip();
        int[] versions = new int[2];
        for (int i = 0; i < 2 && bytes.limit() >= (i + 1) * BLOCK_BYTES; i++) {
            ByteBuffer block = bytes.slice(i * BLOCK_BYTES, BLOCK_BYTES);
            byte[] magic = new byte[MAGIC.length];
            block.get(magic);
            versions[i] = Arrays.equals(magic, MAGIC) ? block.getInt() : 0;
            ByteBuffer[] body = new ByteBuffer[1];
            if (versions[i] == VERSION && RecordFraming.read(block, body) == RecordFraming.Found.COMPLETE) {
                return requireName(parse(body[0], name), name);
            }
        }
        if (versions[0] != 0 && versions[0] == versions[1] && versions[0] != VERSION) {
            throw new UnsupportedVersionException(name, versions[0], VERSION);
        }
        return null;
    }

    private static Format.SegmentHeader parse(ByteBuffer body, SegmentName name) throws StoreException {
        try {
            return Format.SegmentHeader.parseFrom(body);
        } catch (InvalidProtocolBufferException e) {
            throw new InvalidHeaderException(name, VERSION, e);
        }
    }

    private static Format.SegmentHeader requireName(Format.SegmentHeader header, SegmentName name)
            throws StoreException {
        SegmentName nameInHeader = new SegmentName(header.getFirst(), header.getLast(), header.getGeneration());
        if (!nameInHeader.equals(name)) {
            throw MisplacedSegmentException.renamed(name, nameInHeader);
        }
        return header;
    }
}
