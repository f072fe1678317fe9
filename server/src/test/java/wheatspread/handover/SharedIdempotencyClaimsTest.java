package wheatspread.handover;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wheatspread.logging.EventLog;

/** Two processes of one server, as during an upgrade: a key that one ran the other does not run again. */
class SharedIdempotencyClaimsTest {
    private static final long WINDOW = 5_000_000;

    @TempDir
    Path folder;

    @Test
    void aKeyRunInOneProcessIsNotRunInTheOtherWithinItsWindow() throws IOException {
        SharedIdempotencyClaims old = new SharedIdempotencyClaims(folder, 101, EventLog.lines(line -> {}));
        SharedIdempotencyClaims next = new SharedIdempotencyClaims(folder, 202, EventLog.lines(line -> {}));
        assertThat(old.claim("u 3 k1", 1_000_000, WINDOW)).isTrue();
        assertThat(next.claim("u 3 k1", 3_350_000, WINDOW))
                .as("a retry within the window")
                .isFalse();
        assertThat(next.claim("u 3 k2", 3_350_000, WINDOW)).as("another key").isTrue();
        assertThat(old.claim("u 3 k2", 3_400_000, WINDOW)).isFalse();
        assertThat(next.claim("u 3 k1", 6_000_001, WINDOW))
                .as("after the window")
                .isTrue();
        assertThat(old.claim("u 3 k1", 6_500_000, WINDOW))
                .as("the newer claim stands")
                .isFalse();
    }

    @Test
    void claimsAreDeletedByTheirMakerOnceTheirWindowIsOver() throws IOException {
        SharedIdempotencyClaims one = new SharedIdempotencyClaims(folder, 7, EventLog.lines(line -> {}));
        for (int i = 0; i < 100; i++) {
            assertThat(one.claim("u 0 key-" + i, 1_000_000 + i, WINDOW)).isTrue();
        }
        assertThat(one.size()).isEqualTo(100);
        try (var files = Files.list(folder)) {
            assertThat(files.count()).isEqualTo(100);
        }
        assertThat(one.claim("u 0 late", 1_000_100 + WINDOW, WINDOW)).isTrue();
        assertThat(one.size()).isEqualTo(1);
        try (var files = Files.list(folder)) {
            assertThat(files.count()).isEqualTo(1);
        }
    }

    @Test
    void aFolderThatCannotBeWrittenGivesEveryClaim() throws IOException {
        Path file = Files.writeString(folder.resolve("not-a-folder"), "x");
        SharedIdempotencyClaims one = new SharedIdempotencyClaims(folder, 7, EventLog.lines(line -> {}));
        Files.delete(file);
        Files.delete(folder);
        assertThat(one.claim("u 0 k", 1, WINDOW)).isTrue();
        assertThat(one.claim("u 0 k", 2, WINDOW)).isTrue();
    }
}
