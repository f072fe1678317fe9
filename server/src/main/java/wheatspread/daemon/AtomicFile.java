package wheatspread.daemon;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** Files that are read by other processes while they are written: written beside, then renamed into place. */
public final class AtomicFile {
    private AtomicFile() {}

    /** Who reads the file finds the old text or this one whole; a crash of the machine may lose it. */
    public static void write(Path file, String text) throws IOException {
        Path beside = beside(file);
        Files.writeString(beside, text);
        Files.move(beside, file, StandardCopyOption.ATOMIC_MOVE);
    }

    /** The same, and when it returns the text outlives a crash of the machine. */
    public static void writeSynced(Path file, String text) throws IOException {
        Path beside = beside(file);
        try (FileChannel out = FileChannel.open(
                beside, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
            while (bytes.hasRemaining()) {
                out.write(bytes);
            }
            out.force(true);
        }
        Files.move(beside, file, StandardCopyOption.ATOMIC_MOVE);
        try (FileChannel folder = FileChannel.open(file.toAbsolutePath().getParent(), StandardOpenOption.READ)) {
            folder.force(true);
        }
    }

    private static Path beside(Path file) {
        return file.resolveSibling(file.getFileName() + ".new");
    }
}
