package wheatspread.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Compares the index with a map of lists. */
class IndexTest {
    /** Returns a hash that collides often: it has one of few home cells, and is sometimes equal to an earlier hash. */
    private static long collidingHash(Random random, int spread) {
        return random.nextInt(spread) * 0x0101_0101_0101L << random.nextInt(3) * 8 | random.nextInt(3);
    }

    @Property(tries = 60)
    void indexBehavesLikeAMapOfLists(@ForAll long seed, @ForAll @IntRange(min = 1, max = 4_000) int spread) {
        Random random = new Random(seed);
        Index index = new Index();
        TreeMap<Long, List<Long>> model = new TreeMap<>();
        int size = 0;
        for (int i = 1; i <= 2_000; i++) {
            long hash = collidingHash(random, spread);
            List<Long> expected = model.computeIfAbsent(hash, h -> new ArrayList<>());
            boolean growing = i < 1_200;
            if (expected.isEmpty() || random.nextInt(10) < (growing ? 7 : 1)) {
                index.add(hash, Index.location(i, i), i, i);
                expected.add(Index.location(i, i));
                size++;
            } else if (random.nextBoolean()) {
                long from = expected.remove(random.nextInt(expected.size()));
                assertThat(index.move(hash, from, Index.location(i, -i), i, i)).isTrue();
                expected.add(Index.location(i, -i));
            } else {
                assertThat(index.remove(hash, expected.remove(random.nextInt(expected.size()))))
                        .isTrue();
                size--;
            }
            List<Long> found = new ArrayList<>();
            assertThat(index.find(hash, (h, location, length, expiry) -> found.add(location)))
                    .isEqualTo(expected.size());
            assertThat(found).containsExactlyInAnyOrderElementsOf(expected);
        }
        assertThat(index.size()).isEqualTo(size);
        List<Long> copiedHashes = new ArrayList<>();
        for (int table = 0; table < Index.TABLES; table++) {
            index.copy(table, (hash, location, length, expiry) -> {
                assertThat(model.get(hash)).contains(location);
                assertThat(length).isEqualTo(Index.file(location));
                copiedHashes.add(hash);
            });
        }
        assertThat(copiedHashes).hasSize(size).isSortedAccordingTo(Long::compareUnsigned);
        assertThat(index.move(1L << 60, 5, 6, 0, 0)).isFalse();
        assertThat(index.remove(1L << 60, 5)).isFalse();
    }

    @Test
    void indexTakesLessThanFortyBytesPerKeyAndShrinks() {
        Index index = new Index();
        Random random = new Random(3);
        long[] hashes = new long[300_000];
        for (int i = 0; i < hashes.length; i++) {
            hashes[i] = random.nextLong();
            index.add(hashes[i], Index.location(1, i), 100, 0);
            if (i > 20_000 && i % 5_000 == 0) {
                assertThat(index.bytes()).isLessThan(40L * (i + 1));
            }
        }
        for (int i = 0; i < hashes.length; i++) {
            assertThat(index.remove(hashes[i], Index.location(1, i))).isTrue();
        }
        assertThat(index.size()).isZero();
        assertThat(index.bytes()).isLessThan(100_000);
    }

    @Test
    void sweepRemovesOnlyExpiredEntries() {
        Index index = new Index();
        Random random = new Random(3);
        for (int i = 0; i < 10_000; i++) {
            index.add(random.nextLong(), Index.location(1, i), 100, i % 3 == 0 ? 0 : i);
        }
        List<Integer> removedExpiries = new ArrayList<>();
        for (int table = 0; table < Index.TABLES; table++) {
            int cell = 0;
            do {
                cell = index.sweep(
                        table, cell, 7, 5_000, (hash, location, length, expiry) -> removedExpiries.add(expiry));
            } while (cell != 0);
        }
        assertThat(removedExpiries)
                .allMatch(expiry -> expiry > 0 && expiry <= 5_000)
                .hasSizeGreaterThan(3_300);
        assertThat(index.size()).isEqualTo(10_000 - removedExpiries.size());
    }
}
