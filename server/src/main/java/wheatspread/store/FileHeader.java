package wheatspread.store;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.LongSupplier;
import wheatspread.disk.DiskFile;

/**
 * The header of a segment: the same block twice, so that a segment survives one damaged block. Stateless.
 */
final class FileHeader {
    /** Bytes before the first group. */
    static final int HEADER_BYTES = 256;

    static final int VERSION = 1;
    private static final byte[] MAGIC = "wheatlog".getBytes(StandardCharsets.US_ASCII);
    private static final int BLOCK_BYTES = HEADER_BYTES / 2;

    private FileHeader() {}

    /** A random mark for a new file, with which each of its groups starts; 0 stands for none. */
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
        ByteBuffer all = ByteBuffer.allocate(HEADER_BYTES);
        for (int at = 0; at < HEADER_BYTES; at += BLOCK_BYTES) {
            all.position(at).put(MAGIC).putInt(VERSION);
            RecordFraming.write(ByteBuffer.wrap(header.toByteArray()), all);
        }
        return all.clear();
    }

    /**
     * The header, or null if neither block is complete.
     *
     * @throws StoreException if the file is of a version that this program does not know, or of another
     *     name
     */
    static Format.SegmentHeader read(DiskFile file, SegmentName name) throws IOException {
        ByteBuffer all = ByteBuffer.allocate(HEADER_BYTES);
        file.read(all, 0);
        all.flip();
        int[] versions = new int[2];
        for (int i = 0; i < 2 && all.limit() >= (i + 1) * BLOCK_BYTES; i++) {
            ByteBuffer block = all.slice(i * BLOCK_BYTES, BLOCK_BYTES);
            byte[] magic = new byte[MAGIC.length];
            block.get(magic);
            versions[i] = Arrays.equals(magic, MAGIC) ? block.getInt() : 0;
            ByteBuffer[] body = new ByteBuffer[1];
            if (versions[i] == VERSION && RecordFraming.read(block, body) == RecordFraming.Found.COMPLETE) {
                return checked(parse(body[0], name), name);
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

    private static Format.SegmentHeader checked(Format.SegmentHeader header, SegmentName name) throws StoreException {
        SegmentName own = new SegmentName(header.getFirst(), header.getLast(), header.getGeneration());
        if (!own.equals(name)) {
            throw MisplacedSegmentException.renamed(name, own);
        }
        return header;
    }
}
