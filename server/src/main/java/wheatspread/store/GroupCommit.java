package wheatspread.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import wheatspread.disk.Disk;
import wheatspread.logging.EventLog;

/**
 * Implements group commit: many writes share a sync (D. DeWitt et al., "Implementation Techniques for Main Memory
 * Database Systems", SIGMOD 1984). After a failed disk operation the segment is abandoned, since a later successful
 * sync of the same file does not prove that the data is durable (A. Rebello et al., "Can Applications Recover from
 * fsync Failures?", USENIX ATC 2020), and writes are rejected until a new segment exists that records where the failed
 * segment ends; {@link WriteState} delays the attempts to create this segment. Confined to the writer thread.
 */
final class GroupCommit {
    private final StoreSettings settings;
    private final EventLog log;
    private final SegmentWriter writer;
    private final IndexUpdate index;
    private final DiskSpace space;
    private final WriteState state;
    private final StoreStats.Counters counters;

    GroupCommit(StoreContext context, SegmentWriter writer, DiskSpace space, WriteState state) {
        settings = context.settings();
        log = context.log();
        counters = context.counters();
        this.writer = writer;
        this.space = space;
        this.state = state;
        index = new IndexUpdate(context.catalog());
    }

    /** Writes a group and sets the outcome of each write. */
    void commit(List<Write> writes, long nowMillis) {
        List<Write> admitted = admit(writes);
        if (admitted.isEmpty()) {
            return;
        }
        try {
            index.prepare(admitted);
            writer.reserve(admitted.stream().mapToLong(Write::maxFrameBytes).sum());
        } catch (IOException e) {
            handleFailure("open", e, nowMillis);
            completeAll(admitted, Store.Outcome.REFUSED, e);
            return;
        }
        long base;
        try {
            base = writer.append(admitted, nowMillis);
        } catch (IOException e) {
            handleFailure("write", e, nowMillis);
            completeAll(admitted, Store.Outcome.IN_DOUBT, e);
            return;
        }
        index.apply(admitted, writer.active(), base);
        counters.countWrites(admitted.size());
    }

    private static void completeAll(List<Write> writes, Store.Outcome outcome, IOException e) {
        writes.forEach(write -> write.complete(outcome, "disk I/O failed: " + e.getMessage()));
    }

    /** Returns the admitted writes, and completes all rejected writes. */
    private List<Write> admit(List<Write> writes) {
        List<Write> admitted = new ArrayList<>(writes.size());
        long used = space.usedBytes();
        for (Write write : writes) {
            WriteState.Mode mode = state.mode();
            long size = write.maxFrameBytes();
            if (state.mustRecover() || mode == WriteState.Mode.FULL && !write.isDeletion()) {
                write.complete(
                        Store.Outcome.REFUSED, mode == WriteState.Mode.FULL ? "the disk is full" : "disk I/O failed");
            } else if (!write.isDeletion() && !space.hasRoomFor(used + size)) {
                state.setHasRoom(false);
                write.complete(Store.Outcome.REFUSED, "the store is full");
            } else {
                used += size;
                admitted.add(write);
            }
        }
        counters.countRejected(writes.size() - admitted.size());
        return admitted;
    }

    /** Syncs the active segment if {@link StoreSettings.Sync#INTERVAL} is set and a sync is due. */
    void syncIfDue(long nowMillis) {
        if (syncsAtIntervals() && nowMillis - writer.lastSyncMillis() >= settings.syncIntervalMillis()) {
            sync(nowMillis);
        }
    }

    /** Syncs the active segment; if that fails, abandons the segment and returns false. */
    boolean sync(long nowMillis) {
        try {
            writer.sync(nowMillis);
            return true;
        } catch (IOException e) {
            handleFailure("sync", e, nowMillis);
            return false;
        }
    }

    private boolean syncsAtIntervals() {
        return writer.isDirty() && settings.sync() == StoreSettings.Sync.INTERVAL;
    }

    /** After a failure, creates a new segment if an attempt is due. */
    void recoverIfDue(long nowMillis) {
        if (!state.mayRetry(nowMillis)) {
            return;
        }
        try {
            writer.resume(nowMillis);
            state.markRecovered();
            space.checkDiskNext(nowMillis);
            log.info("store_writes_again", "failures", state.failures());
        } catch (IOException e) {
            handleFailure("recover", e, nowMillis);
        }
    }

    /** Returns when a sync or a recovery attempt is due, or {@link Long#MAX_VALUE} if neither is pending. */
    long nextDueMillis(long nowMillis) {
        long syncDue = syncsAtIntervals() ? writer.lastSyncMillis() + settings.syncIntervalMillis() : Long.MAX_VALUE;
        return Math.min(syncDue, Math.max(nowMillis, state.retryAtMillis()));
    }

    /** Seals the active segment; returns false if the disk failed. */
    boolean seal(long nowMillis) {
        try {
            writer.seal();
            return true;
        } catch (IOException e) {
            handleFailure("seal", e, nowMillis);
            return false;
        }
    }

    private void handleFailure(String operation, IOException e, long nowMillis) {
        state.markFailed(nowMillis, e instanceof Disk.DiskFullException);
        counters.countFailure();
        log.error(
                "store_write_failed",
                "doing",
                operation,
                "reason",
                e.toString(),
                "retry_ms",
                state.retryAtMillis() - nowMillis);
        writer.abandon();
    }
}
