package wheatspread.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import wheatspread.disk.Disk;
import wheatspread.disk.DiskFile;

/**
 * An in-memory disk that counts its operations, and can fail, tear a write, run full, stall or crash at any operation.
 * A crash keeps unsynced changes, loses them, or keeps a part of them out of order.
 */
final class FaultyDisk implements Disk {
    /** The effect of a crash on unsynced changes; in PROCESS only the process crashes, so the changes stay unsynced. */
    enum Unsynced {
        KEPT,
        LOST,
        REORDERED,
        PROCESS
    }

    /** A change of file names, which can be replayed on the copies of another disk. */
    private interface NameChange {
        void apply(Map<String, Node> names, UnaryOperator<Node> copies);
    }

    /** Thrown when the simulated machine crashes, and by every operation after that. */
    static final class Crash extends Error {
        private static final long serialVersionUID = 1L;
    }

    private static final int SECTOR_BYTES = 64;
    private static final Runnable NO_HOOK = () -> {};

    private static final class Node {
        private byte[] bytes = new byte[0];
        private int synced;
    }

    private final Map<String, Node> names = new TreeMap<>();
    private Map<String, Node> syncedNames = new TreeMap<>();
    /** The changes of names since the last {@link #syncNames}; a crash may keep any subset of them. */
    private final List<NameChange> unsyncedNames = new ArrayList<>();

    private final Random random;
    private boolean locked;
    private boolean crashed;

    /** The number of counted operations so far. */
    int steps;

    /** The number of bytes appended to files. */
    long appended;

    /** The number of the operation that fails with {@link #failure}; 0 for none. */
    int failAtStep;

    Supplier<IOException> failure = () -> new IOException("planned");
    /** Whether every operation after {@link #failAtStep} fails, too. */
    boolean keepsFailing;

    int crashAtStep;
    long capacityBytes = Long.MAX_VALUE;
    /** Runs before each operation. */
    Runnable atStep = NO_HOOK;

    /** Runs between any two appended bytes, when the bytes up to that point are on the disk. */
    Runnable atByte = NO_HOOK;
    /** Runs before each sync of a file. */
    Runnable beforeSync = NO_HOOK;

    FaultyDisk(long seed) {
        random = new Random(seed);
    }

    /** Returns the disk that a new process finds after a crash. */
    FaultyDisk restarted(Unsynced how, long seed) {
        FaultyDisk disk = new FaultyDisk(seed);
        Map<Node, Node> copied = new IdentityHashMap<>();
        UnaryOperator<Node> copies =
                node -> copied.computeIfAbsent(node, original -> disk.copyAfterCrash(original, how));
        Map<String, Node> remaining = new TreeMap<>();
        boolean keepsNames = how == Unsynced.KEPT || how == Unsynced.PROCESS;
        (keepsNames ? names : syncedNames).forEach((name, node) -> remaining.put(name, copies.apply(node)));
        if (how == Unsynced.REORDERED) {
            unsyncedNames.stream()
                    .filter(change -> disk.random.nextBoolean())
                    .forEach(change -> change.apply(remaining, copies));
        }
        disk.names.putAll(remaining);
        if (how == Unsynced.PROCESS) {
            syncedNames.forEach((name, node) -> disk.syncedNames.put(name, copies.apply(node)));
            unsyncedNames.forEach(change -> disk.unsyncedNames.add(
                    (names, operation) -> change.apply(names, node -> operation.apply(copies.apply(node)))));
        } else {
            disk.syncedNames = new TreeMap<>(remaining);
        }
        return disk;
    }

    private Node copyAfterCrash(Node node, Unsynced how) {
        Node copy = new Node();
        int length = node.bytes.length;
        if (how == Unsynced.LOST) {
            length = node.synced;
        } else if (how == Unsynced.REORDERED && length > node.synced) {
            length = node.synced + random.nextInt(length - node.synced + 1);
        }
        copy.bytes = Arrays.copyOf(node.bytes, length);
        if (how == Unsynced.REORDERED) {
            for (int offset = node.synced; offset < length; offset += SECTOR_BYTES) {
                if (random.nextBoolean()) {
                    Arrays.fill(copy.bytes, offset, Math.min(length, offset + SECTOR_BYTES), (byte) 0);
                }
            }
        }
        copy.synced = how == Unsynced.PROCESS ? node.synced : length;
        return copy;
    }

    byte[] bytes(String name) {
        return names.get(name).bytes;
    }

    /** Replaces the content of a file. */
    void replace(String name, byte[] bytes) {
        Node node = new Node();
        node.bytes = bytes;
        node.synced = bytes.length;
        names.put(name, node);
        syncedNames.put(name, node);
    }

    private void step() throws IOException {
        requireNotCrashed();
        steps++;
        atStep.run();
        if (steps == crashAtStep) {
            crashed = true;
            throw new Crash();
        }
        if (failAtStep > 0 && (steps == failAtStep || keepsFailing && steps > failAtStep)) {
            throw failure.get();
        }
    }

    private void requireNotCrashed() {
        if (crashed) {
            throw new Crash();
        }
    }

    private void applyChange(NameChange change) {
        change.apply(names, UnaryOperator.identity());
        unsyncedNames.add(change);
    }

    @Override
    public synchronized List<String> list() {
        requireNotCrashed();
        return List.copyOf(names.keySet());
    }

    @Override
    public synchronized DiskFile create(String name) throws IOException {
        step();
        if (names.containsKey(name)) {
            throw new IOException(name + " exists");
        }
        Node node = new Node();
        applyChange((target, copies) -> target.put(name, copies.apply(node)));
        return new File(node);
    }

    @Override
    public synchronized DiskFile open(String name) throws IOException {
        requireNotCrashed();
        if (!names.containsKey(name)) {
            throw new IOException(name + " does not exist");
        }
        return new File(names.get(name));
    }

    @Override
    public synchronized void rename(String from, String to) throws IOException {
        step();
        applyChange((target, copies) -> {
            if (target.containsKey(from)) {
                target.put(to, target.remove(from));
            }
        });
    }

    @Override
    public synchronized void delete(String name) throws IOException {
        if (!names.containsKey(name)) {
            requireNotCrashed();
            return;
        }
        step();
        applyChange((target, copies) -> target.remove(name));
    }

    @Override
    public synchronized void syncNames() throws IOException {
        step();
        syncedNames = new TreeMap<>(names);
        unsyncedNames.clear();
    }

    @Override
    public synchronized long free() {
        return capacityBytes == Long.MAX_VALUE ? capacityBytes : capacityBytes - usedBytes();
    }

    private long usedBytes() {
        return names.values().stream().mapToLong(node -> node.bytes.length).sum();
    }

    @Override
    public synchronized Closeable lock() throws IOException {
        if (locked) {
            throw new FolderLockedException("in use");
        }
        locked = true;
        return () -> locked = false;
    }

    private final class File implements DiskFile {
        private final Node node;
        private boolean closed;

        File(Node node) {
            this.node = node;
        }

        @Override
        public void append(ByteBuffer bytes) throws IOException {
            synchronized (FaultyDisk.this) {
                requireOpen();
                int size = bytes.remaining();
                try {
                    step();
                } catch (IOException | Crash e) {
                    write(bytes, random.nextInt(size + 1));
                    throw e;
                }
                if (size > capacityBytes - usedBytes()) {
                    write(bytes, (int) Math.max(0, capacityBytes - usedBytes()));
                    throw new DiskFullException("planned", null);
                }
                byte[] before = node.bytes;
                for (int part = 1; part < size && atByte != NO_HOOK; part++) {
                    write(bytes.duplicate(), part);
                    atByte.run();
                    node.bytes = before;
                }
                write(bytes, size);
                appended += size;
            }
        }

        private void write(ByteBuffer bytes, int size) {
            int offset = node.bytes.length;
            node.bytes = Arrays.copyOf(node.bytes, offset + size);
            bytes.get(node.bytes, offset, size);
        }

        @Override
        public int read(ByteBuffer to, long offset) throws IOException {
            synchronized (FaultyDisk.this) {
                requireOpen();
                int size = (int) Math.max(0, Math.min(to.remaining(), node.bytes.length - offset));
                to.put(node.bytes, (int) Math.min(offset, node.bytes.length), size);
                return size;
            }
        }

        @Override
        public void sync() throws IOException {
            beforeSync.run();
            synchronized (FaultyDisk.this) {
                requireOpen();
                step();
                node.synced = node.bytes.length;
            }
        }

        @Override
        public long size() throws IOException {
            synchronized (FaultyDisk.this) {
                requireOpen();
                return node.bytes.length;
            }
        }

        private void requireOpen() throws IOException {
            requireNotCrashed();
            if (closed) {
                throw new IOException("closed");
            }
        }

        @Override
        public void close() {
            closed = true;
        }
    }
}
