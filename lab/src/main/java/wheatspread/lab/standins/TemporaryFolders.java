package wheatspread.lab.standins;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** Deletes the temporary folders of measurements. */
public final class TemporaryFolders {
    private TemporaryFolders() {}

    /** Deletes a folder recursively; does nothing if it does not exist. */
    public static void delete(Path folder) throws IOException {
        if (Files.exists(folder)) {
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.deleteIfExists(path);
                }
            }
        }
    }
}
