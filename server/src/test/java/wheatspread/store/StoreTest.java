package wheatspread.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import wheatspread.disk.Disk;
import wheatspread.disk.FolderDisk;
import wheatspread.logging.EventLog;

/** Tests of the store with its threads; a single-threaded executor represents the event loop. */
@Timeout(60)
class StoreTest {
    private static final int STATS_WRITES = 3_000;

    private final ExecutorService loop = Executors.newSingleThreadExecutor();
    private final FaultyDisk disk = new FaultyDisk(1);
    private Store store;

    @AfterEach
    void closeStore() throws IOException {
        if (store != null) {
            store.close();
        }
        loop.shutdownNow();
    }

    private Store open(Disk disk, StoreSettings settings) throws IOException {
        store = Store.open(disk, settings, Store.Clock.SYSTEM, loop, EventLog.NONE);
        return store;
    }

    private CompletableFuture<Store.Outcome> put(String key, String value) {
        CompletableFuture<Store.Outcome> outcomeFuture = new CompletableFuture<>();
        assertThat(store.put(
                        StoreHarness.bytes(key),
                        StoreHarness.bytes(value),
                        0,
                        (outcome, reason) -> outcomeFuture.complete(outcome)))
                .isNull();
        return outcomeFuture;
    }

    private Store.ReadResult get(String key) {
        CompletableFuture<Store.ReadResult> result = new CompletableFuture<>();
        assertThat(store.get(StoreHarness.bytes(key), result::complete)).isNull();
        return result.join();
    }

    @Test
    void acknowledgedWritesAreReadAfterReopeningTheFolder(@TempDir Path folder) throws IOException {
        open(FolderDisk.make(folder), StoreHarness.smallSettings());
        for (int i = 0; i < 200; i++) {
            put("key " + i % 20, "value " + i);
        }
        assertThat(put("last", "one").join()).isEqualTo(Store.Outcome.HELD);
        assertThatThrownBy(() -> Store.open(
                        FolderDisk.of(folder), StoreHarness.smallSettings(), Store.Clock.SYSTEM, loop, EventLog.NONE))
                .isInstanceOf(Disk.FolderLockedException.class)
                .hasMessageContaining(
                        "is in use by process " + ProcessHandle.current().pid());
        store.close();
        open(FolderDisk.of(folder), StoreHarness.smallSettings());
        assertThat(get("last").value()).isEqualTo(StoreHarness.bytes("one"));
        assertThat(get("key 7").value()).isEqualTo(StoreHarness.bytes("value 187"));
        assertThat(get("no key").kind()).isEqualTo(Store.ReadResult.Kind.ABSENT);
    }

    @Test
    void stalledDiskBlocksNeitherCallersNorReads() throws Exception {
        open(disk, StoreHarness.smallSettings().withQueue(100, 1 << 20, 100));
        put("read", "meanwhile").join();
        CountDownLatch stalled = new CountDownLatch(1);
        CountDownLatch released = new CountDownLatch(1);
        disk.beforeSync = () -> {
            stalled.countDown();
            try {
                released.await();
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        };
        CompletableFuture<Store.Outcome> first = put("one", "x");
        stalled.await();
        long syncs = store.stats().counters().syncs();
        List<CompletableFuture<Store.Outcome>> pending = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            pending.add(put("key " + i, "x"));
        }
        assertThat(store.put(StoreHarness.bytes("k"), StoreHarness.bytes("v"), 0, (outcome, reason) -> {}))
                .isEqualTo(Store.Rejection.QUEUE_FULL);
        assertThat(store.queueStats())
                .isEqualTo(new Store.QueueStats(100, store.queueStats().pendingBytes(), 0, 1));
        assertThat(get("read").value()).isEqualTo(StoreHarness.bytes("meanwhile"));
        assertThat(get("one").kind()).isEqualTo(Store.ReadResult.Kind.ABSENT);
        assertThat(first).isNotDone();
        released.countDown();
        first.join();
        pending.forEach(write -> assertThat(write.join()).isEqualTo(Store.Outcome.HELD));
        assertThat(store.stats().counters().syncs() - syncs).isLessThan(10); // many writes share a sync
    }

    /** Guards against a read of the current job and of the file sizes while the writer changes them. */
    @Test
    void statsMayBeReadWhileJobsRun() throws Exception {
        open(disk, StoreHarness.smallSettings().withSizes(1_024, 64 << 20, 2_048));
        CountDownLatch written = new CountDownLatch(1);
        CompletableFuture<Long> statsReader = CompletableFuture.supplyAsync(() -> {
            long reads = 0;
            while (written.getCount() > 0) {
                assertThat(store.stats().usedBytes()).isNotNegative();
                reads++;
            }
            return reads;
        });
        for (int i = 0; i < STATS_WRITES && !statsReader.isDone(); i++) {
            put("key " + i % 50, "value " + i).join();
        }
        written.countDown();
        assertThat(statsReader.join()).isPositive();
        assertThat(store.stats().counters().writes()).isEqualTo(STATS_WRITES);
    }

    @Test
    void invalidWritesAndCallsAfterCloseAreRejectedImmediately() throws IOException {
        open(disk, StoreHarness.smallSettings().withMaxLifetime(10_000));
        Store.WriteCallback ignored = (outcome, reason) -> {};
        long nowMillis = System.currentTimeMillis();
        assertThat(store.put(new byte[1], new byte[300], nowMillis + 5_000, ignored))
                .isEqualTo(Store.Rejection.TOO_LONG);
        assertThat(store.put(new byte[1], new byte[3], 0, ignored)).isEqualTo(Store.Rejection.BAD_EXPIRY);
        assertThat(store.put(new byte[1], new byte[3], nowMillis + 99_000, ignored))
                .isEqualTo(Store.Rejection.BAD_EXPIRY);
        assertThat(store.put(new byte[1], new byte[3], nowMillis - 1, ignored)).isEqualTo(Store.Rejection.BAD_EXPIRY);
        store.close();
        assertThat(store.delete(new byte[1], ignored)).isEqualTo(Store.Rejection.CLOSED);
        assertThat(store.get(new byte[1], got -> {})).isEqualTo(Store.Rejection.CLOSED);
    }

    @Test
    void failedWriteIsInDoubtAndTheStoreRecovers() throws Exception {
        open(disk, StoreHarness.smallSettings());
        put("key", "old").join();
        synchronized (disk) {
            disk.failAtStep = disk.steps + 2;
        }
        assertThat(put("key", "new").join()).isEqualTo(Store.Outcome.IN_DOUBT);
        assertThat(get("key").value()).isEqualTo(StoreHarness.bytes("old"));
        Store.Rejection rejection;
        CompletableFuture<Store.Outcome> retried = new CompletableFuture<>();
        do {
            rejection =
                    store.put(StoreHarness.bytes("key"), StoreHarness.bytes("again"), 0, (o, r) -> retried.complete(o));
            assertThat(rejection).isIn(null, Store.Rejection.FAILED);
            Thread.onSpinWait();
        } while (rejection != null);
        assertThat(retried.join()).isIn(Store.Outcome.HELD, Store.Outcome.REFUSED);
    }

    @Test
    void closeCompletesAcceptedWritesAndLeavesACheckpoint() throws IOException {
        open(disk, StoreHarness.smallSettings());
        List<CompletableFuture<Store.Outcome>> accepted = new ArrayList<>();
        for (int i = 0; i < 500; i++) {
            accepted.add(put("key " + i, "x"));
        }
        store.close();
        accepted.forEach(write -> assertThat(write.join()).isEqualTo(Store.Outcome.HELD));
        assertThat(disk.list()).anyMatch(name -> name.endsWith(".checkpoint"));
    }

    @Test
    void errorThatEndsAThreadIsLoggedWithTheThreadName() throws IOException {
        CompletableFuture<String> fault = new CompletableFuture<>();
        store = Store.open(disk, StoreHarness.smallSettings(), Store.Clock.SYSTEM, loop, EventLog.lines(line -> {
            if (line.startsWith("store_fault")) {
                fault.complete(line);
            }
        }));
        put("key", "value").join();
        synchronized (disk) {
            disk.crashAtStep = disk.steps + 1;
        }
        put("key", "newer");
        assertThat(fault.orTimeout(10, TimeUnit.SECONDS).join())
                .contains("thread=store-writer")
                .contains("Crash");
        store.abandon();
    }
}
