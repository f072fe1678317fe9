package wheatspread.heap;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class IndexedHeapTest {
    private static final int BOUND = 100;

    private final IndexedHeap heap = new IndexedHeap(BOUND);

    private List<Integer> drain() {
        List<Integer> indexes = new ArrayList<>();
        while (heap.size() > 0) {
            indexes.add(heap.first());
            heap.remove(heap.first());
        }
        return indexes;
    }

    @Test
    void emptyHeapHasNoFirstElement() {
        assertThat(heap.size()).isZero();
        assertThat(heap.remove(7)).isFalse();
        assertThatThrownBy(heap::first).isInstanceOf(IllegalStateException.class);
    }

    @Test
    void rejectsIndexesOutOfBounds() {
        assertThatThrownBy(() -> heap.put(BOUND, 1)).isInstanceOf(IndexOutOfBoundsException.class);
        assertThatThrownBy(() -> heap.put(-1, 1)).isInstanceOf(IndexOutOfBoundsException.class);
        assertThat(heap.size()).isZero();
    }

    @Test
    void keepsOrderBeyondInitialCapacity() {
        List<Integer> expected = new ArrayList<>();
        for (int index = BOUND - 1; index >= 0; index--) {
            heap.put(index, index * 37 % 100 / 10);
            expected.add(index);
        }
        expected.sort(
                Comparator.<Integer>comparingInt(index -> index * 37 % 100 / 10).thenComparingInt(index -> index));
        assertThat(heap.size()).isEqualTo(BOUND);
        assertThat(drain()).isEqualTo(expected);
    }

    @Test
    void movesElementBothWaysWhenKeyChanges() {
        heap.put(1, 10);
        heap.put(2, 20);
        heap.put(3, 30);
        assertThat(heap.put(2, 5)).isTrue();
        assertThat(heap.first()).isEqualTo(2);
        assertThat(heap.put(2, 40)).isTrue();
        assertThat(heap.put(2, 40)).as("unchanged key").isFalse();
        assertThat(heap.size()).isEqualTo(3);
        assertThat(drain()).containsExactly(1, 3, 2);
    }

    @Test
    void ordersEqualKeysByIndexAndEqualZeros() {
        heap.put(3, 0.0);
        heap.put(2, -0.0);
        heap.put(4, -0.0);
        heap.put(1, 0.0);
        assertThat(heap.put(4, 0.0)).isFalse();
        assertThat(drain()).containsExactly(1, 2, 3, 4);
    }

    @Test
    void ordersInfinitiesAndPutsNanLast() {
        heap.put(1, Double.NaN);
        heap.put(2, Double.POSITIVE_INFINITY);
        heap.put(3, Double.NEGATIVE_INFINITY);
        heap.put(4, 0);
        assertThat(heap.put(1, Double.NaN)).isFalse();
        assertThat(drain()).containsExactly(3, 4, 2, 1);
    }

    /**
     * Compares the heap with a list that is sorted after every step. Keys have few distinct values, so that ties are
     * frequent.
     */
    @Property(tries = 200, seed = "11")
    void matchesSortedList(@ForAll long seed) {
        new IndexedHeapTest().assertMatchesSortedList(new Random(seed)); // each seed needs a new heap
    }

    private void assertMatchesSortedList(Random random) {
        Map<Integer, Double> expected = new TreeMap<>();
        int distinctKeys = 1 + random.nextInt(30);
        for (int step = 0; step < 400; step++) {
            int index = random.nextInt(BOUND);
            if (random.nextInt(3) < 2) {
                double key = random.nextInt(distinctKeys);
                Double previousKey = expected.put(index, key);
                assertThat(heap.put(index, key)).isEqualTo(previousKey == null || previousKey != key);
            } else {
                assertThat(heap.remove(index)).isEqualTo(expected.remove(index) != null);
            }
            assertThat(heap.size()).isEqualTo(expected.size());
            if (!expected.isEmpty()) {
                assertThat(heap.first()).isEqualTo(sorted(expected).get(0));
            }
        }
        assertThat(drain()).isEqualTo(sorted(expected));
    }

    /** Sorts stably by key: equal keys keep the order of the map, which is that of the indexes. */
    private static List<Integer> sorted(Map<Integer, Double> keys) {
        return keys.entrySet().stream()
                .sorted(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey)
                .toList();
    }
}
