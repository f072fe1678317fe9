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

/** A key is looked up and overwritten, and another one goes while a new one comes, among {@code size}. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class IndexBenchmark {
    @Param({"10000", "1000000"})
    private int size;

    private record Place(long at, int length, int expiry) {}

    private final Random random = new Random(1);
    private long[] hashes;
    private long[] places;
    private long found;
    private int serial;
    private Index index;
    private Map<Long, Place> map;
    private Long2ObjectHashMap<Place> agrona;

    /** Fills all three structures with the same keys. */
    @Setup
    public void fill() {
        hashes = random.longs(size).toArray();
        places = new long[size];
        index = new Index();
        map = new HashMap<>();
        agrona = new Long2ObjectHashMap<>();
        for (int i = 0; i < size; i++) {
            places[i] = Index.location(1, i);
            index.add(hashes[i], places[i], 100, 0);
            map.put(hashes[i], new Place(places[i], 100, 0));
            agrona.put(hashes[i], new Place(places[i], 100, 0));
        }
    }

    /** The index of the store. */
    @Benchmark
    public long index() {
        int one = random.nextInt(size);
        index.find(hashes[one], (hash, at, length, expiry) -> found = at);
        long to = Index.location(2, serial++);
        index.move(hashes[one], found, to, 100, 0);
        places[one] = to;
        int other = random.nextInt(size);
        index.remove(hashes[other], places[other]);
        hashes[other] = random.nextLong();
        places[other] = Index.location(3, serial);
        index.add(hashes[other], places[other], 100, 0);
        return found;
    }

    /** The JDK's hash map of boxed keys. */
    @Benchmark
    public long hashMap() {
        int one = random.nextInt(size);
        found = map.get(hashes[one]).at();
        map.put(hashes[one], new Place(serial++, 100, 0));
        int other = random.nextInt(size);
        map.remove(hashes[other]);
        hashes[other] = random.nextLong();
        map.put(hashes[other], new Place(serial, 100, 0));
        return found;
    }

    /** A hash map of primitive keys. */
    @Benchmark
    public long agrona() {
        int one = random.nextInt(size);
        found = agrona.get(hashes[one]).at();
        agrona.put(hashes[one], new Place(serial++, 100, 0));
        int other = random.nextInt(size);
        agrona.remove(hashes[other]);
        hashes[other] = random.nextLong();
        agrona.put(hashes[other], new Place(serial, 100, 0));
        return found;
    }
}
