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
 * A disk in memory that counts each step, and fails, tears, fills up, stalls or crashes at any of them.
 * What was not synced when it crashes is kept, lost, or kept in part and out of order.
 */
final class FaultyDisk implements Disk {
    /** What a crash does with what was not synced; PROCESS is that of the process alone. */
    enum Unsynced {
        KEPT,
        LOST,
        REORDERED,
        PROCESS
    }

    /** A change of names, on files that another disk has copies of. */
    private interface Change {
        void to(Map<String, Node> names, UnaryOperator<Node> copies);
    }

    /** The machine is gone. */
    static final class Crash extends Error {
        private static final long serialVersionUID = 1L;
    }

    private static final int SECTOR = 64;
    private static final Runnable NOTHING = () -> {};

    private static final class Node {
        private byte[] bytes = new byte[0];
        private int synced;
    }

    private final Map<String, Node> names = new TreeMap<>();
    private Map<String, Node> syncedNames = new TreeMap<>();
    /** What was done to names since they were synced: any part of it may last. */
    private final List<Change> unsyncedNames = new ArrayList<>();

    private final Random random;
    private boolean locked;
    private boolean crashed;

    int steps;
    long appended;
    /** The step that fails, and how; 0 is none. */
    int failAtStep;

    Supplier<IOException> failure = () -> new IOException("planned");
    /** From {@link #failAtStep} on every step fails. */
    boolean keepsFailing;

    int crashAtStep;
    long capacityBytes = Long.MAX_VALUE;
    /** Runs before each step, and between any two bytes that are appended, with the disk as it is then. */
    Runnable atStep = NOTHING;

    Runnable atByte = NOTHING;
    /** Runs before each sync of a file. */
    Runnable beforeSync = NOTHING;

    FaultyDisk(long seed) {
        random = new Random(seed);
    }

    /** What a new process finds after a crash, or after a process that just ended where all is kept. */
    FaultyDisk restarted(Unsynced how, long seed) {
        FaultyDisk disk = new FaultyDisk(seed);
        Map<Node, Node> copied = new IdentityHashMap<>();
        UnaryOperator<Node> copies = node -> copied.computeIfAbsent(node, one -> disk.after(one, how));
        Map<String, Node> left = new TreeMap<>();
        boolean all = how == Unsynced.KEPT || how == Unsynced.PROCESS;
        (all ? names : syncedNames).forEach((name, node) -> left.put(name, copies.apply(node)));
        if (how == Unsynced.REORDERED) {
            unsyncedNames.stream()
                    .filter(change -> disk.random.nextBoolean())
                    .forEach(change -> change.to(left, copies));
        }
        disk.names.putAll(left);
        if (how == Unsynced.PROCESS) {
            syncedNames.forEach((name, node) -> disk.syncedNames.put(name, copies.apply(node)));
            unsyncedNames.forEach(change -> disk.unsyncedNames.add(
                    (names, further) -> change.to(names, node -> further.apply(copies.apply(node)))));
        } else {
            disk.syncedNames = new TreeMap<>(left);
        }
        return disk;
    }

    private Node after(Node node, Unsynced how) {
        Node after = new Node();
        int length = node.bytes.length;
        if (how == Unsynced.LOST) {
            length = node.synced;
        } else if (how == Unsynced.REORDERED && length > node.synced) {
            length = node.synced + random.nextInt(length - node.synced + 1);
        }
        after.bytes = Arrays.copyOf(node.bytes, length);
        if (how == Unsynced.REORDERED) {
            for (int at = node.synced; at < length; at += SECTOR) {
                if (random.nextBoolean()) {
                    Arrays.fill(after.bytes, at, Math.min(length, at + SECTOR), (byte) 0);
                }
            }
        }
        after.synced = how == Unsynced.PROCESS ? node.synced : length;
        return after;
    }

    byte[] bytes(String name) {
        return names.get(name).bytes;
    }

    /** Puts other bytes in the place of a file's. */
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

    private void change(Change change) {
        change.to(names, UnaryOperator.identity());
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
            throw new IOException(name + " is there");
        }
        Node node = new Node();
        change((all, copies) -> all.put(name, copies.apply(node)));
        return new File(node);
    }

    @Override
    public synchronized DiskFile open(String name) throws IOException {
        requireNotCrashed();
        if (!names.containsKey(name)) {
            throw new IOException(name + " is not there");
        }
        return new File(names.get(name));
    }

    @Override
    public synchronized void rename(String from, String to) throws IOException {
        step();
        change((all, copies) -> {
            if (all.containsKey(from)) {
                all.put(to, all.remove(from));
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
        change((all, copies) -> all.remove(name));
    }

    @Override
    public synchronized void syncNames() throws IOException {
        step();
        syncedNames = new TreeMap<>(names);
        unsyncedNames.clear();
    }

    @Override
    public synchronized long free() {
        return capacityBytes == Long.MAX_VALUE ? capacityBytes : capacityBytes - used();
    }

    private long used() {
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
                open();
                int size = bytes.remaining();
                try {
                    step();
                } catch (IOException | Crash e) {
                    write(bytes, random.nextInt(size + 1));
                    throw e;
                }
                if (size > capacityBytes - used()) {
                    write(bytes, (int) Math.max(0, capacityBytes - used()));
                    throw new DiskFullException("planned", null);
                }
                byte[] before = node.bytes;
                for (int part = 1; part < size && atByte != NOTHING; part++) {
                    write(bytes.duplicate(), part);
                    atByte.run();
                    node.bytes = before;
                }
                write(bytes, size);
                appended += size;
            }
        }

        private void write(ByteBuffer bytes, int size) {
            int at = node.bytes.length;
            node.bytes = Arrays.copyOf(node.bytes, at + size);
            bytes.get(node.bytes, at, size);
        }

        @Override
        public int read(ByteBuffer to, long at) throws IOException {
            synchronized (FaultyDisk.this) {
                open();
                int size = (int) Math.max(0, Math.min(to.remaining(), node.bytes.length - at));
                to.put(node.bytes, (int) Math.min(at, node.bytes.length), size);
                return size;
            }
        }

        @Override
        public void sync() throws IOException {
            beforeSync.run();
            synchronized (FaultyDisk.this) {
                open();
                step();
                node.synced = node.bytes.length;
            }
        }

        @Override
        public long size() throws IOException {
            synchronized (FaultyDisk.this) {
                open();
                return node.bytes.length;
            }
        }

        private void open() throws IOException {
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
