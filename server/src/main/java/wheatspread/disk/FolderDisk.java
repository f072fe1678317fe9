package wheatspread.disk;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/** A {@link Disk} on a folder of the file system. */
public final class FolderDisk implements Disk {
    /** The name of the lock file, which contains the id of the process that holds the lock. */
    public static final String LOCK_FILE_NAME = "lock";

    private final Path folder;

    private FolderDisk(Path folder) {
        this.folder = folder;
    }

    /** Opens a folder, and creates it if it does not exist. */
    public static FolderDisk make(Path folder) throws IOException {
        Files.createDirectories(folder);
        return new FolderDisk(folder);
    }

    /** Opens an existing folder; fails if it does not exist. */
    public static FolderDisk of(Path folder) throws IOException {
        if (!Files.isDirectory(folder)) {
            throw new IOException(folder + " is not a folder");
        }
        return new FolderDisk(folder);
    }

    @Override
    public List<String> list() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(Files::isRegularFile)
                    .map(file -> file.getFileName().toString())
                    .toList();
        }
    }

    @Override
    public DiskFile create(String name) throws IOException {
        return new ChannelFile(FileChannel.open(
                folder.resolve(name),
                StandardOpenOption.CREATE_NEW,
                StandardOpenOption.READ,
                StandardOpenOption.WRITE));
    }

    @Override
    public DiskFile open(String name) throws IOException {
        // some file systems refuse to sync a file that was opened read-only
        return new ChannelFile(
                FileChannel.open(folder.resolve(name), StandardOpenOption.READ, StandardOpenOption.WRITE));
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(folder.resolve(from), folder.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(folder.resolve(name));
    }

    @Override
    public void syncNames() throws IOException {
        try (FileChannel names = FileChannel.open(folder, StandardOpenOption.READ)) {
            names.force(true);
        }
    }

    @Override
    public long free() throws IOException {
        return Files.getFileStore(folder).getUsableSpace();
    }

    @Override
    public Closeable lock() throws IOException {
        FileChannel file = FileChannel.open(
                folder.resolve(LOCK_FILE_NAME),
                StandardOpenOption.CREATE,
                StandardOpenOption.WRITE,
                StandardOpenOption.READ);
        FileLock lock;
        try {
            lock = file.tryLock();
        } catch (OverlappingFileLockException e) {
            lock = null;
        }
        if (lock == null) {
            file.close();
            throw new FolderLockedException(folder + " is in use by process "
                    + Files.readString(folder.resolve(LOCK_FILE_NAME)).strip());
        }
        file.truncate(0)
                .write(ByteBuffer.wrap((ProcessHandle.current().pid() + "\n").getBytes(StandardCharsets.US_ASCII)), 0);
        return file;
    }

    private static final class ChannelFile implements DiskFile {
        private final FileChannel channel;
        private long end;

        ChannelFile(FileChannel channel) throws IOException {
            this.channel = channel;
            end = channel.size();
        }

        @Override
        public void append(ByteBuffer bytes) throws IOException {
            try {
                while (bytes.hasRemaining()) {
                    end += channel.write(bytes, end);
                }
            } catch (IOException e) {
                String message = String.valueOf(e.getMessage());
                if (message.contains("No space left") || message.contains("quota exceeded")) {
                    throw new DiskFullException("the disk is full", e);
                }
                throw e;
            }
        }

        @Override
        public int read(ByteBuffer buffer, long offset) throws IOException {
            int totalBytes = 0;
            while (buffer.hasRemaining()) {
                int readBytes = channel.read(buffer, offset + totalBytes);
                if (readBytes < 0) {
                    break;
                }
                totalBytes += readBytes;
            }
            return totalBytes;
        }

        @Override
        public void sync() throws IOException {
            channel.force(false);
        }

        @Override
        public long size() throws IOException {
            return channel.size();
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }
}
