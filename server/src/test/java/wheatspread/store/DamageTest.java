package wheatspread.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wheatspread.disk.Disk;

/** Tests that the store never returns a wrong value after files were damaged, truncated, deleted or replaced. */
class DamageTest {
    /** Creates a small store, closed regularly (with a checkpoint) or left as after a crash. */
    private static StoreHarness createStore(boolean closed) throws IOException {
        StoreHarness harness = new StoreHarness(StoreHarness.smallSettings(), 1);
        harness.runHistory(new Random(4), 110);
        if (closed) {
            harness.log.finish(harness.nowMillis);
            harness.log.close();
        }
        return harness;
    }

    private static StoreHarness openWithReplacedFile(StoreHarness healthy, String name, byte[] bytes)
            throws IOException {
        StoreHarness harness = healthy.afterCrash(FaultyDisk.Unsynced.KEPT, 1);
        harness.disk.replace(name, bytes);
        harness.open();
        return harness;
    }

    private static boolean isReported(StoreHarness harness) {
        return harness.events.stream()
                .anyMatch(line ->
                        line.matches("(store_damage|store_torn_tail|store_checkpoint_unusable|store_file_lost) .*"));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void flippedBitIsDetectedOrHarmless(boolean closed) throws IOException {
        StoreHarness healthy = createStore(closed);
        int reported = 0;
        int flipped = 0;
        for (String name : healthy.disk.list()) {
            byte[] bytes = healthy.disk.bytes(name);
            for (int offset = 0; offset < bytes.length; offset++) {
                byte[] damaged = bytes.clone();
                damaged[offset] ^= (byte) (1 << offset % 8);
                StoreHarness harness = openWithReplacedFile(healthy, name, damaged);
                // the last group before a crash cannot be distinguished from a group that was never acknowledged
                harness.assertNoWrongValues(isReported(harness)
                        && harness.events.stream().anyMatch(line -> line.startsWith("store_torn_tail")));
                reported += isReported(harness) ? 1 : 0;
                flipped++;
            }
        }
        assertThat(flipped).isGreaterThan(2_000);
        assertThat(reported).isGreaterThan(flipped / 4);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void truncatedFileNeverYieldsAWrongValue(boolean closed) throws IOException {
        StoreHarness healthy = createStore(closed);
        for (String name : healthy.disk.list()) {
            byte[] bytes = healthy.disk.bytes(name);
            for (int length = 0; length < bytes.length; length++) {
                StoreHarness harness = openWithReplacedFile(healthy, name, Arrays.copyOf(bytes, length));
                SegmentName segment = SegmentName.parse(name);
                boolean isNewest = !closed
                        && segment != null
                        && segment.isOriginal()
                        && segment.last() == Layout.of(healthy.disk.list()).nextNumber() - 1;
                harness.assertNoWrongValues(isNewest);
            }
        }
    }

    @Test
    void damagedKeyIsDoubtfulUntilRewrittenAndOtherKeysStayReadable() throws IOException {
        StoreHarness healthy = new StoreHarness(StoreHarness.smallSettings().withMaxLifetime(60_000), 1);
        healthy.open();
        healthy.commitGroup("a", "old", 50_000);
        healthy.commitGroup("a", "newer", 50_000, "b", "other", 50_000);
        healthy.commitGroup("c", "behind it", 50_000);
        String name = SegmentName.original(1).toString();
        byte[] bytes = healthy.disk.bytes(name).clone();
        int valueOffset = new String(bytes, java.nio.charset.StandardCharsets.ISO_8859_1).indexOf("newer");
        bytes[valueOffset] ^= 1;
        StoreHarness harness = openWithReplacedFile(healthy, name, bytes);
        assertThat(harness.log.get(StoreHarness.bytes("a"), harness.nowMillis).kind())
                .isEqualTo(Store.ReadResult.Kind.DOUBTFUL);
        assertThat(harness.log.get(StoreHarness.bytes("b"), harness.nowMillis).kind())
                .isEqualTo(Store.ReadResult.Kind.VALUE);
        assertThat(harness.log.get(StoreHarness.bytes("c"), harness.nowMillis).kind())
                .isEqualTo(Store.ReadResult.Kind.VALUE);
        assertThat(harness.log.get(StoreHarness.bytes("d"), harness.nowMillis).kind())
                .isEqualTo(Store.ReadResult.Kind.ABSENT);
        assertThat(harness.disk.list()).contains(name + ".damaged");
        harness.restart(FaultyDisk.Unsynced.LOST, 1); // the suspected loss is persistent
        assertThat(harness.log.get(StoreHarness.bytes("a"), harness.nowMillis).kind())
                .isEqualTo(Store.ReadResult.Kind.DOUBTFUL);
        harness.commitGroup("a", "again", 50_000);
        assertThat(harness.log.get(StoreHarness.bytes("a"), harness.nowMillis).value())
                .isEqualTo(StoreHarness.bytes("again"));
        harness.commitGroup("a", null, 0);
        harness.nowMillis += 60_001; // every write that could have been lost has expired
        assertThat(harness.log.get(StoreHarness.bytes("a"), harness.nowMillis).kind())
                .isEqualTo(Store.ReadResult.Kind.ABSENT);
    }

    @Test
    void lostSegmentMakesOnlyOlderKeysDoubtful() throws IOException {
        StoreHarness healthy = new StoreHarness(StoreHarness.smallSettings(), 1);
        healthy.open();
        for (int i = 0; i < 60; i++) {
            healthy.commitGroup("key " + i, "x".repeat(60), 0);
        }
        StoreHarness harness = healthy.afterCrash(FaultyDisk.Unsynced.KEPT, 1);
        harness.disk.delete(SegmentName.original(3).toString());
        harness.open();
        assertThat(harness.log
                        .get(StoreHarness.bytes("key 0"), harness.nowMillis)
                        .kind())
                .isEqualTo(Store.ReadResult.Kind.DOUBTFUL);
        assertThat(harness.log
                        .get(StoreHarness.bytes("key 0"), harness.nowMillis)
                        .value())
                .isNotNull();
        assertThat(harness.log
                        .get(StoreHarness.bytes("no key"), harness.nowMillis)
                        .kind())
                .isEqualTo(Store.ReadResult.Kind.DOUBTFUL);
        assertThat(harness.log
                        .get(StoreHarness.bytes("key 59"), harness.nowMillis)
                        .kind())
                .isEqualTo(Store.ReadResult.Kind.VALUE);
        assertThat(harness.events).anyMatch(line -> line.startsWith("store_file_lost before=4"));
    }

    @Test
    void unsupportedVersionAndSegmentOfAnotherStoreAreRejected() throws IOException {
        StoreHarness healthy = createStore(false);
        String name = healthy.disk.list().stream()
                .filter(file -> SegmentName.parse(file) != null)
                .findFirst()
                .orElseThrow();
        byte[] bytes = healthy.disk.bytes(name).clone();
        bytes[11] = 2;
        bytes[FileHeader.HEADER_BYTES / 2 + 11] = 2;
        assertThatThrownBy(() -> openWithReplacedFile(healthy, name, bytes))
                .isInstanceOf(StoreException.class)
                .hasMessageContaining("is of version 2; this program reads version 1")
                .isInstanceOfSatisfying(UnsupportedVersionException.class, e -> {
                    assertThat(e.file()).isEqualTo(name);
                    assertThat(e.version()).isEqualTo(2);
                    assertThat(e.supportedVersion()).isEqualTo(1);
                });
        StoreHarness mixedStores = new StoreHarness(StoreHarness.smallSettings(), 1);
        mixedStores.open();
        mixedStores.log.closeFiles();
        mixedStores.disk = healthy.disk.restarted(FaultyDisk.Unsynced.KEPT, 1);
        SegmentName next =
                SegmentName.original(Layout.of(mixedStores.disk.list()).nextNumber());
        mixedStores.disk.replace(
                next.toString(), FileHeader.write(next, 77, 5, 0).array());
        assertThatThrownBy(mixedStores::open)
                .isInstanceOf(StoreException.class)
                .hasMessageContaining("belongs to another store")
                .isInstanceOfSatisfying(
                        MisplacedSegmentException.class,
                        e -> assertThat(e.file()).isEqualTo(next.toString()));
    }

    @Test
    void secondProcessCannotOpenTheFolder() throws IOException {
        StoreHarness harness = createStore(false);
        assertThatThrownBy(harness::open).isInstanceOf(Disk.FolderLockedException.class);
    }
}
