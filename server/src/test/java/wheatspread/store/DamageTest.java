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
    private static Bench store(boolean ended) throws IOException {
        Bench bench = new Bench(Bench.small(), 1);
        bench.history(new Random(4), 110);
        if (ended) {
            bench.log.finish(bench.now);
            bench.log.close();
        }
        return bench;
    }

    private static Bench with(Bench whole, String name, byte[] bytes) throws IOException {
        Bench bench = whole.crashedHere(FaultyDisk.Unsynced.KEPT, 1);
        bench.disk.replace(name, bytes);
        bench.open();
        return bench;
    }

    private static boolean isTold(Bench bench) {
        return bench.events.stream()
                .anyMatch(line ->
                        line.matches("(store_damage|store_torn_tail|store_checkpoint_unusable|store_file_lost) .*"));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aFlippedBitIsFoundOrHarmless(boolean ended) throws IOException {
        Bench whole = store(ended);
        int found = 0;
        int flipped = 0;
        for (String name : whole.disk.list()) {
            byte[] bytes = whole.disk.bytes(name);
            for (int at = 0; at < bytes.length; at++) {
                byte[] wrong = bytes.clone();
                wrong[at] ^= (byte) (1 << at % 8);
                Bench bench = with(whole, name, wrong);
                // the last group before a crash cannot be told from one that was never acknowledged
                bench.checkDamaged(
                        isTold(bench) && bench.events.stream().anyMatch(line -> line.startsWith("store_torn_tail")));
                found += isTold(bench) ? 1 : 0;
                flipped++;
            }
        }
        assertThat(flipped).isGreaterThan(2_000);
        assertThat(found).isGreaterThan(flipped / 4);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aFileThatEndsTooSoonNeverGivesAnotherValue(boolean ended) throws IOException {
        Bench whole = store(ended);
        for (String name : whole.disk.list()) {
            byte[] bytes = whole.disk.bytes(name);
            for (int length = 0; length < bytes.length; length++) {
                Bench bench = with(whole, name, Arrays.copyOf(bytes, length));
                SegmentName segment = SegmentName.parse(name);
                boolean newest = !ended
                        && segment != null
                        && segment.isOriginal()
                        && segment.last() == Layout.of(whole.disk.list()).next() - 1;
                bench.checkDamaged(newest);
            }
        }
    }

    @Test
    void aDamagedKeyIsInDoubtUntilItIsWrittenAgainAndOthersAreServed() throws IOException {
        Bench whole = new Bench(Bench.small().withLongestLife(60_000), 1);
        whole.open();
        whole.commit("a", "old", 50_000);
        whole.commit("a", "newer", 50_000, "b", "other", 50_000);
        whole.commit("c", "behind it", 50_000);
        String name = SegmentName.original(1).toString();
        byte[] bytes = whole.disk.bytes(name).clone();
        int at = new String(bytes, java.nio.charset.StandardCharsets.ISO_8859_1).indexOf("newer");
        bytes[at] ^= 1;
        Bench bench = with(whole, name, bytes);
        assertThat(bench.log.get(Bench.bytes("a"), bench.now).kind()).isEqualTo(Store.Got.Kind.DOUBTFUL);
        assertThat(bench.log.get(Bench.bytes("b"), bench.now).kind()).isEqualTo(Store.Got.Kind.VALUE);
        assertThat(bench.log.get(Bench.bytes("c"), bench.now).kind()).isEqualTo(Store.Got.Kind.VALUE);
        assertThat(bench.log.get(Bench.bytes("d"), bench.now).kind()).isEqualTo(Store.Got.Kind.ABSENT);
        assertThat(bench.disk.list()).contains(name + ".damaged");
        bench.restart(FaultyDisk.Unsynced.LOST, 1); // the doubt lasts
        assertThat(bench.log.get(Bench.bytes("a"), bench.now).kind()).isEqualTo(Store.Got.Kind.DOUBTFUL);
        bench.commit("a", "again", 50_000);
        assertThat(bench.log.get(Bench.bytes("a"), bench.now).value()).isEqualTo(Bench.bytes("again"));
        bench.commit("a", null, 0);
        bench.now += 60_001; // whatever was lost has expired
        assertThat(bench.log.get(Bench.bytes("a"), bench.now).kind()).isEqualTo(Store.Got.Kind.ABSENT);
    }

    @Test
    void aLostFilePutsAllOlderKeysInDoubtAndNoNewerOne() throws IOException {
        Bench whole = new Bench(Bench.small(), 1);
        whole.open();
        for (int i = 0; i < 60; i++) {
            whole.commit("key " + i, "x".repeat(60), 0);
        }
        Bench bench = whole.crashedHere(FaultyDisk.Unsynced.KEPT, 1);
        bench.disk.delete(SegmentName.original(3).toString());
        bench.open();
        assertThat(bench.log.get(Bench.bytes("key 0"), bench.now).kind()).isEqualTo(Store.Got.Kind.DOUBTFUL);
        assertThat(bench.log.get(Bench.bytes("key 0"), bench.now).value()).isNotNull();
        assertThat(bench.log.get(Bench.bytes("no key"), bench.now).kind()).isEqualTo(Store.Got.Kind.DOUBTFUL);
        assertThat(bench.log.get(Bench.bytes("key 59"), bench.now).kind()).isEqualTo(Store.Got.Kind.VALUE);
        assertThat(bench.events).anyMatch(line -> line.startsWith("store_file_lost before=4"));
    }

    @Test
    void anUnknownVersionOrAnotherStoresFileIsRefused() throws IOException {
        Bench whole = store(false);
        String name = whole.disk.list().stream()
                .filter(one -> SegmentName.parse(one) != null)
                .findFirst()
                .orElseThrow();
        byte[] bytes = whole.disk.bytes(name).clone();
        bytes[11] = 2;
        bytes[FileHeader.SIZE / 2 + 11] = 2;
        assertThatThrownBy(() -> with(whole, name, bytes))
                .isInstanceOf(StoreException.class)
                .hasMessageContaining("is of version 2; this program reads version 1");
        Bench other = new Bench(Bench.small(), 1);
        other.open();
        other.log.shut();
        other.disk = whole.disk.restarted(FaultyDisk.Unsynced.KEPT, 1);
        SegmentName next = SegmentName.original(Layout.of(other.disk.list()).next());
        other.disk.replace(next.toString(), FileHeader.write(next, 77, 5, 0).array());
        assertThatThrownBy(other::open)
                .isInstanceOf(StoreException.class)
                .hasMessageContaining("belongs to another store");
    }

    @Test
    void oneProcessAtATime() throws IOException {
        Bench bench = store(false);
        assertThatThrownBy(bench::open).isInstanceOf(Disk.TakenException.class);
    }
}
