package wheatspread.lab.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.zip.CRC32C;
import wheatspread.disk.FolderDisk;
import wheatspread.logging.EventLog;
import wheatspread.store.Store;
import wheatspread.store.StoreSettings;

/** Writes groups of keys and values durably. Instances are used by one thread. */
interface GroupWriter extends AutoCloseable {
    /**
     * Begins writing a group. The returned latch reaches 0 when the group is durable; writers without a background
     * thread block until then.
     */
    CountDownLatch begin(byte[][] keys, byte[] value) throws Exception;

    CountDownLatch DONE = new CountDownLatch(0);

    @Override
    void close() throws IOException;

    /** Returns a writer to the server's embedded store. */
    static GroupWriter store(Path folder, StoreSettings settings) throws IOException {
        Store store = Store.open(FolderDisk.make(folder), settings, Store.Clock.SYSTEM, Runnable::run, EventLog.NONE);
        return new GroupWriter() {
            @Override
            public CountDownLatch begin(byte[][] keys, byte[] value) throws Exception {
                CountDownLatch held = new CountDownLatch(keys.length);
                Store.Batch batch = store.batch();
                for (byte[] key : keys) {
                    batch.put(key, value, 0, (outcome, reason) -> {
                        if (outcome == Store.Outcome.HELD) {
                            held.countDown();
                        }
                    });
                }
                Store.Rejection refusal = batch.send();
                if (refusal != null) {
                    throw new IOException("store refused a batch of " + keys.length + " writes: " + refusal);
                }
                return held;
            }

            @Override
            public void close() throws IOException {
                store.close();
            }
        };
    }

    /** Returns a baseline writer: a log synced after each group, and a map from key to the offset of its record. */
    static GroupWriter plain(Path file) throws IOException {
        FileChannel channel = append(file);
        Map<ByteBuffer, Long> offsets = new HashMap<>();
        CRC32C checksum = new CRC32C();
        return new GroupWriter() {
            private long endOffset;

            @Override
            public CountDownLatch begin(byte[][] keys, byte[] value) throws Exception {
                ByteBuffer bytes = ByteBuffer.allocate(keys.length * (12 + keys[0].length + value.length));
                for (byte[] key : keys) {
                    checksum.reset();
                    checksum.update(key);
                    checksum.update(value);
                    offsets.put(ByteBuffer.wrap(key), endOffset + bytes.position());
                    bytes.putInt(key.length)
                            .putInt(value.length)
                            .putInt((int) checksum.getValue())
                            .put(key)
                            .put(value);
                }
                endOffset += bytes.position();
                channel.write(bytes.flip());
                channel.force(false);
                return DONE;
            }

            @Override
            public void close() throws IOException {
                channel.close();
            }
        };
    }

    private static FileChannel append(Path file) throws IOException {
        return FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.APPEND);
    }

    /** Returns a writer that measures the disk alone: appends the group's bytes and syncs. */
    static GroupWriter bare(Path file) throws IOException {
        FileChannel channel = append(file);
        return new GroupWriter() {
            @Override
            public CountDownLatch begin(byte[][] keys, byte[] value) throws Exception {
                ByteBuffer bytes = ByteBuffer.allocate(keys.length * (keys[0].length + value.length));
                for (byte[] key : keys) {
                    bytes.put(key).put(value);
                }
                channel.write(bytes.flip());
                channel.force(false);
                return DONE;
            }

            @Override
            public void close() throws IOException {
                channel.close();
            }
        };
    }
}
