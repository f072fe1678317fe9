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

/** Ways to make a group of writes last. */
interface Writers extends AutoCloseable {
    /** Begins a group; it lasts when the latch is at 0. Those without a thread of their own end it first. */
    CountDownLatch begin(byte[][] keys, byte[] value) throws Exception;

    CountDownLatch DONE = new CountDownLatch(0);

    @Override
    void close() throws IOException;

    /** The program's store. */
    static Writers store(Path folder, StoreSettings settings) throws IOException {
        Store store = Store.open(FolderDisk.make(folder), settings, Store.Clock.SYSTEM, Runnable::run, EventLog.NONE);
        return new Writers() {
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
                    throw new IOException("refused: " + refusal);
                }
                return held;
            }

            @Override
            public void close() throws IOException {
                store.close();
            }
        };
    }

    /** The plain way: a log that is synced for each group, and a map of where each key's record begins. */
    static Writers plain(Path file) throws IOException {
        FileChannel channel = append(file);
        Map<ByteBuffer, Long> places = new HashMap<>();
        CRC32C sum = new CRC32C();
        return new Writers() {
            private long end;

            @Override
            public CountDownLatch begin(byte[][] keys, byte[] value) throws Exception {
                ByteBuffer bytes = ByteBuffer.allocate(keys.length * (12 + keys[0].length + value.length));
                for (byte[] key : keys) {
                    sum.reset();
                    sum.update(key);
                    sum.update(value);
                    places.put(ByteBuffer.wrap(key), end + bytes.position());
                    bytes.putInt(key.length)
                            .putInt(value.length)
                            .putInt((int) sum.getValue())
                            .put(key)
                            .put(value);
                }
                end += bytes.position();
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

    /** The disk alone: the bytes of the group appended and synced. */
    static Writers bare(Path file) throws IOException {
        FileChannel channel = append(file);
        return new Writers() {
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
