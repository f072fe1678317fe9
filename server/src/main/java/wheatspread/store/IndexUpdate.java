package wheatspread.store;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import org.agrona.collections.LongArrayList;

/**
 * Applies a group of writes to the index. Before the group is appended, {@link #prepare} finds the entry that
 * each write replaces, which may have to read records; once the group is durable, {@link #apply} changes the
 * entries under one lock. For the writer's thread alone.
 */
final class IndexUpdate {
    private final SegmentCatalog catalog;

    IndexUpdate(SegmentCatalog catalog) {
        this.catalog = catalog;
    }

    /** Finds the entries that the writes replace. */
    void prepare(List<Write> writes) throws IOException {
        for (Write write : writes) {
            long hash = catalog.hash(write.key());
            write.resolve(hash, entryOf(hash, write.key()));
        }
    }

    /**
     * The place of a key's entry; 0 if it has none. Keys with equal hashes are distinguished by reading their
     * records.
     */
    private long entryOf(long hash, byte[] key) throws IOException {
        LongArrayList found = new LongArrayList(2, 0);
        catalog.index().find(hash, (h, at, length, expiry) -> {
            found.addLong(at);
            found.addLong(length);
        });
        for (int i = 0; i < found.size(); i += 2) {
            if (catalog.hasKey(found.getLong(i), (int) found.getLong(i + 1), key)) {
                return found.getLong(i);
            }
        }
        return 0;
    }

    /** Points the index to a group that is held; its places count from {@code base} in {@code segment}. */
    void apply(List<Write> writes, Segment segment, long base) {
        synchronized (catalog.index()) {
            for (int i = 0; i < writes.size(); i++) {
                apply(writes, i, segment, base);
                writes.get(i).complete(Store.Outcome.HELD, null);
            }
        }
    }

    private void apply(List<Write> writes, int place, Segment segment, long base) {
        Write write = writes.get(place);
        long at = Index.location(segment.id(), (int) (base + write.groupOffset()));
        long[] old = new long[2];
        catalog.index().find(write.hash(), (hash, there, length, expiry) -> {
            boolean earlier = Index.file(there) == segment.id()
                    && Index.offset(there) >= base
                    && isSameKey(write, writes, place, (int) (Index.offset(there) - base));
            if (there == write.replacedLocation() || earlier) {
                old[0] = there;
                old[1] = length;
            }
        });
        if (old[0] != 0) {
            catalog.subtractLiveBytes(old[0], old[1]);
        }
        if (write.isDeletion()) {
            segment.countTombstone();
            if (old[0] != 0) {
                catalog.index().remove(write.hash(), old[0]);
            }
            return;
        }
        int expiry = SegmentCatalog.expirySeconds(write.expiresMillis());
        segment.countRecord(write.expiresMillis());
        segment.addLiveBytes(SegmentCatalog.liveBytesOf(write.frameBytes()));
        if (old[0] == 0 || !catalog.index().move(write.hash(), old[0], at, write.frameBytes(), expiry)) {
            catalog.index().add(write.hash(), at, write.frameBytes(), expiry);
        }
    }

    /** Whether the earlier write of this group that stands at a place has the same key. */
    private static boolean isSameKey(Write write, List<Write> writes, int before, int at) {
        for (int i = before - 1; i >= 0; i--) {
            if (writes.get(i).groupOffset() == at) {
                return Arrays.equals(writes.get(i).key(), write.key());
            }
        }
        return false;
    }
}
