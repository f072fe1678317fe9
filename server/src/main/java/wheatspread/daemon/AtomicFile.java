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
 * Replaces files that other processes read at any time: the text is written to a temporary file beside the old one,
 * which is then renamed over it. A reader finds the old text or the new one whole. Calls block for the disk; two calls
 * for the same file must not overlap, since they share the temporary file.
 */
public final class AtomicFile {
    private AtomicFile() {}

    /** Replaces the file. A crash of the machine may lose the new text. */
    public static void write(Path file, String text) throws IOException {
        Path temporary = temporaryFile(file);
        Files.writeString(temporary, text);
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
    }

    /** Replaces the file. When it returns, the text survives a crash of the machine. */
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
