package wheatspread.lab.standins;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** Folders that a measurement made. */
public final class TemporaryFolders {
    private TemporaryFolders() {}

    /** Deletes a folder with all that is in it; nothing where it is not there. */
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
