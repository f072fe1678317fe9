package wheatspread.lab.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.CountDownLatch;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.type.ByteArrayDataType;
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
        Store store = Store.open(FolderDisk.make(folder), settings, Store.Time.SYSTEM, Runnable::run,
            EventLog.NONE);
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
                Store.Refusal refusal = batch.send();
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

    /** H2's MVStore: a commit and a sync for each group. */
    static Writers mvStore(Path file) {
        MVStore store = new MVStore.Builder().fileName(file.toString()).autoCommitDisabled().open();
        MVMap<byte[], byte[]> map = store.openMap("map", new MVMap.Builder<byte[], byte[]>()
            .keyType(ByteArrayDataType.INSTANCE).valueType(ByteArrayDataType.INSTANCE));
        return new Writers() {
            @Override
            public CountDownLatch begin(byte[][] keys, byte[] value) {
                for (byte[] key : keys) {
                    map.put(key, value);
                }
                store.commit();
                store.sync();
                return DONE;
            }

            @Override
            public void close() {
                store.close();
            }
        };
    }

    /** The disk alone: the bytes of the group appended and synced. */
    static Writers bare(Path file) throws IOException {
        FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
            StandardOpenOption.APPEND);
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
