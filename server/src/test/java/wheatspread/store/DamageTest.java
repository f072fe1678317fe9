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

/** Files that are not as they were written. */
class DamageTest {
    /** A small store, ended well (with a checkpoint) or as a crash leaves it. */
    private static StoreHarness store(boolean ended) throws IOException {
        StoreHarness harness = new StoreHarness(StoreHarness.smallSettings(), 1);
        harness.runHistory(new Random(4), 110);
        if (ended) {
            harness.log.finish(harness.nowMillis);
            harness.log.close();
        }
        return harness;
    }

    private static StoreHarness with(StoreHarness healthy, String name, byte[] bytes) throws IOException {
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
    void flippedBitIsDetectedOrHarmless(boolean ended) throws IOException {
        StoreHarness healthy = store(ended);
        int found = 0;
        int flipped = 0;
        for (String name : healthy.disk.list()) {
            byte[] bytes = healthy.disk.bytes(name);
            for (int at = 0; at < bytes.length; at++) {
                byte[] wrong = bytes.clone();
                wrong[at] ^= (byte) (1 << at % 8);
                StoreHarness harness = with(healthy, name, wrong);
                // the last group before a crash cannot be distinguished from one that was never acknowledged
                harness.assertNoWrongValues(isReported(harness)
                        && harness.events.stream().anyMatch(line -> line.startsWith("store_torn_tail")));
                found += isReported(harness) ? 1 : 0;
                flipped++;
            }
        }
        assertThat(flipped).isGreaterThan(2_000);
        assertThat(found).isGreaterThan(flipped / 4);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void truncatedFileNeverYieldsAWrongValue(boolean ended) throws IOException {
        StoreHarness healthy = store(ended);
        for (String name : healthy.disk.list()) {
            byte[] bytes = healthy.disk.bytes(name);
            for (int length = 0; length < bytes.length; length++) {
                StoreHarness harness = with(healthy, name, Arrays.copyOf(bytes, length));
                SegmentName segment = SegmentName.parse(name);
                boolean newest = !ended
                        && segment != null
                        && segment.isOriginal()
                        && segment.last() == Layout.of(healthy.disk.list()).nextNumber() - 1;
                harness.assertNoWrongValues(newest);
            }
        }
    }

    @Test
    void damagedKeyIsDoubtfulUntilItIsRewrittenAndOtherKeysAreServed() throws IOException {
        StoreHarness healthy = new StoreHarness(StoreHarness.smallSettings().withMaxLifetime(60_000), 1);
        healthy.open();
        healthy.commitGroup("a", "old", 50_000);
        healthy.commitGroup("a", "newer", 50_000, "b", "other", 50_000);
        healthy.commitGroup("c", "behind it", 50_000);
        String name = SegmentName.original(1).toString();
        byte[] bytes = healthy.disk.bytes(name).clone();
        int at = new String(bytes, java.nio.charset.StandardCharsets.ISO_8859_1).indexOf("newer");
        bytes[at] ^= 1;
        StoreHarness harness = with(healthy, name, bytes);
        assertThat(harness.log.get(StoreHarness.bytes("a"), harness.nowMillis).kind())
                .isEqualTo(Store.ReadResult.Kind.DOUBTFUL);
        assertThat(harness.log.get(StoreHarness.bytes("b"), harness.nowMillis).kind())
                .isEqualTo(Store.ReadResult.Kind.VALUE);
        assertThat(harness.log.get(StoreHarness.bytes("c"), harness.nowMillis).kind())
                .isEqualTo(Store.ReadResult.Kind.VALUE);
        assertThat(harness.log.get(StoreHarness.bytes("d"), harness.nowMillis).kind())
                .isEqualTo(Store.ReadResult.Kind.ABSENT);
        assertThat(harness.disk.list()).contains(name + ".damaged");
        harness.restart(FaultyDisk.Unsynced.LOST, 1); // the doubt lasts
        assertThat(harness.log.get(StoreHarness.bytes("a"), harness.nowMillis).kind())
                .isEqualTo(Store.ReadResult.Kind.DOUBTFUL);
        harness.commitGroup("a", "again", 50_000);
        assertThat(harness.log.get(StoreHarness.bytes("a"), harness.nowMillis).value())
                .isEqualTo(StoreHarness.bytes("again"));
        harness.commitGroup("a", null, 0);
        harness.nowMillis += 60_001; // whatever was lost has expired
        assertThat(harness.log.get(StoreHarness.bytes("a"), harness.nowMillis).kind())
                .isEqualTo(Store.ReadResult.Kind.ABSENT);
    }

    @Test
    void lostSegmentMakesAllOlderKeysDoubtfulAndNoNewerOne() throws IOException {
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
        StoreHarness healthy = store(false);
        String name = healthy.disk.list().stream()
                .filter(one -> SegmentName.parse(one) != null)
                .findFirst()
                .orElseThrow();
        byte[] bytes = healthy.disk.bytes(name).clone();
        bytes[11] = 2;
        bytes[FileHeader.HEADER_BYTES / 2 + 11] = 2;
        assertThatThrownBy(() -> with(healthy, name, bytes))
                .isInstanceOf(StoreException.class)
                .hasMessageContaining("is of version 2; this program reads version 1")
                .isInstanceOfSatisfying(UnsupportedVersionException.class, e -> {
                    assertThat(e.file()).isEqualTo(name);
                    assertThat(e.version()).isEqualTo(2);
                    assertThat(e.supportedVersion()).isEqualTo(1);
                });
        StoreHarness other = new StoreHarness(StoreHarness.smallSettings(), 1);
        other.open();
        other.log.closeFiles();
        other.disk = healthy.disk.restarted(FaultyDisk.Unsynced.KEPT, 1);
        SegmentName next = SegmentName.original(Layout.of(other.disk.list()).nextNumber());
        other.disk.replace(next.toString(), FileHeader.write(next, 77, 5, 0).array());
        assertThatThrownBy(other::open)
                .isInstanceOf(StoreException.class)
                .hasMessageContaining("belongs to another store")
                .isInstanceOfSatisfying(
                        MisplacedSegmentException.class,
                        e -> assertThat(e.file()).isEqualTo(next.toString()));
    }

    @Test
    void secondProcessCannotOpenTheFolder() throws IOException {
        StoreHarness harness = store(false);
        assertThatThrownBy(harness::open).isInstanceOf(Disk.FolderLockedException.class);
    }
}
