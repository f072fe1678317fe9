package wheatspread.daemon;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/**
 * Replaces files that other processes may read at any time. The text is written to a temporary file in the same
 * directory, which is then renamed over the old file, so that a reader sees either the complete old text or the
 * complete new one. Calls block for the disk. Two calls for the same file must not overlap, since they use the same
 * temporary file.
 */
public final class AtomicFile {
    private AtomicFile() {}

    /** Replaces the file without a sync; a crash of the machine may lose the new text. */
    public static void write(Path file, String text) throws IOException {
        Path temporary = temporaryFile(file);
        Files.writeString(temporary, text);
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
    }

    /** Replaces the file and syncs it: after the method returns, the text survives a crash of the machine. */
    public static void writeSynced(Path file, String text) throws IOException {
        Path temporary = temporaryFile(file);
        try (FileChannel out = FileChannel.open(
                temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
            while (bytes.hasRemaining()) {
                out.write(bytes);
            }
            out.force(true);
        }
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
        try (FileChannel directory = FileChannel.open(file.toAbsolutePath().getParent(), StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    private static Path temporaryFile(Path file) {
        return file.resolveSibling(file.getFileName() + ".new");
    }
}
