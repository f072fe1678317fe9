package wheatspread.lab.bench;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.agrona.collections.Long2ObjectHashMap;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import wheatspread.store.Index;

/** Measures looking up and overwriting a key, and replacing another by a new key, among {@code size} keys. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class IndexBenchmark {
    @Param({"10000", "1000000"})
    private int size;

    private record Place(long location, int length, int expiry) {}

    private final Random random = new Random(1);
    private long[] hashes;
    private long[] locations;
    private long foundLocation;
    private int serial;
    private Index index;
    private Map<Long, Place> map;
    private Long2ObjectHashMap<Place> agrona;

    /** Fills the three structures with the same keys. */
    @Setup
    public void fill() {
        hashes = random.longs(size).toArray();
        locations = new long[size];
        index = new Index();
        map = new HashMap<>();
        agrona = new Long2ObjectHashMap<>();
        for (int i = 0; i < size; i++) {
            locations[i] = Index.location(1, i);
            index.add(hashes[i], locations[i], 100, 0);
            map.put(hashes[i], new Place(locations[i], 100, 0));
            agrona.put(hashes[i], new Place(locations[i], 100, 0));
        }
    }

    /** Measures the index of the store. */
    @Benchmark
    public long index() {
        int updated = random.nextInt(size);
        index.find(hashes[updated], (hash, location, length, expiry) -> foundLocation = location);
        long newLocation = Index.location(2, serial++);
        index.move(hashes[updated], foundLocation, newLocation, 100, 0);
        locations[updated] = newLocation;
        int replaced = random.nextInt(size);
        index.remove(hashes[replaced], locations[replaced]);
        hashes[replaced] = random.nextLong();
        locations[replaced] = Index.location(3, serial);
        index.add(hashes[replaced], locations[replaced], 100, 0);
        return foundLocation;
    }

    /** Measures the JDK's hash map with boxed keys. */
    @Benchmark
    public long hashMap() {
        int updated = random.nextInt(size);
        foundLocation = map.get(hashes[updated]).location();
        map.put(hashes[updated], new Place(serial++, 100, 0));
        int replaced = random.nextInt(size);
        map.remove(hashes[replaced]);
        hashes[replaced] = random.nextLong();
        map.put(hashes[replaced], new Place(serial, 100, 0));
        return foundLocation;
    }

    /** Measures Agrona's hash map with primitive keys. */
    @Benchmark
    public long agrona() {
        int updated = random.nextInt(size);
        foundLocation = agrona.get(hashes[updated]).location();
        agrona.put(hashes[updated], new Place(serial++, 100, 0));
        int replaced = random.nextInt(size);
        agrona.remove(hashes[replaced]);
        hashes[replaced] = random.nextLong();
        agrona.put(hashes[replaced], new Place(serial, 100, 0));
        return foundLocation;
    }
}
