package wheatspread.store;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import org.agrona.collections.LongArrayList;

/**
 * Applies a group of writes to the index. Before the group is appended, {@link #prepare} finds the entry that
 * each write replaces, which may read records from disk; once the group is durable, {@link #apply} changes the
 * entries under a single lock. Confined to the writer thread.
 */
final class IndexUpdate {
    private final SegmentCatalog catalog;

    IndexUpdate(SegmentCatalog catalog) {
        this.catalog = catalog;
    }

    /** Sets in each write its hash and the entry that it replaces. */
    void prepare(List<Write> writes) throws IOException {
        for (Write write : writes) {
            long hash = catalog.hash(write.key());
            write.resolve(hash, entryOf(hash, write.key()));
        }
    }

    /**
     * Returns the location of the entry of a key, or 0 if the key has no entry. Keys with equal hashes are
     * distinguished by reading their records.
     */
    private long entryOf(long hash, byte[] key) throws IOException {
        LongArrayList found = new LongArrayList(2, 0);
        catalog.index().find(hash, (h, location, length, expiry) -> {
            found.addLong(location);
            found.addLong(length);
        });
        for (int i = 0; i < found.size(); i += 2) {
            if (catalog.hasKey(found.getLong(i), (int) found.getLong(i + 1), key)) {
                return found.getLong(i);
            }
        }
        return 0;
    }

    /** Points the index to an appended group, whose record frames start at offset {@code base} of {@code segment}. */
    void apply(List<Write> writes, Segment segment, long base) {
        synchronized (catalog.index()) {
            for (int i = 0; i < writes.size(); i++) {
                apply(writes, i, segment, base);
                writes.get(i).complete(Store.Outcome.HELD, null);
            }
        }
    }

    private void apply(List<Write> writes, int position, Segment segment, long base) {
        Write write = writes.get(position);
        long location = Index.location(segment.id(), (int) (base + write.groupOffset()));
        long[] old = new long[2];
        catalog.index().find(write.hash(), (hash, existing, length, expiry) -> {
            boolean earlier = Index.file(existing) == segment.id()
                    && Index.offset(existing) >= base
                    && isSameKey(write, writes, position, (int) (Index.offset(existing) - base));
            if (existing == write.replacedLocation() || earlier) {
                old[0] = existing;
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
        if (old[0] == 0 || !catalog.index().move(write.hash(), old[0], location, write.frameBytes(), expiry)) {
            catalog.index().add(write.hash(), location, write.frameBytes(), expiry);
        }
    }

    /** Returns whether the earlier write of this group at {@code groupOffset} has the same key. */
    private static boolean isSameKey(Write write, List<Write> writes, int before, int groupOffset) {
        for (int i = before - 1; i >= 0; i--) {
            if (writes.get(i).groupOffset() == groupOffset) {
                return Arrays.equals(writes.get(i).key(), write.key());
            }
        }
        return false;
    }
}
