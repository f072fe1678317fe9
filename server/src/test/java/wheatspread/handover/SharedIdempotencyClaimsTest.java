package wheatspread.handover;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wheatspread.logging.EventLog;

/** Guards against a second run of a key in the other process of a server during an upgrade. */
class SharedIdempotencyClaimsTest {
    private static final long WINDOW_MICROS = 5_000_000;

    @TempDir
    Path folder;

    @Test
    void rejectsAKeyThatTheOtherProcessClaimedWithinItsWindow() throws IOException {
        SharedIdempotencyClaims previous = new SharedIdempotencyClaims(folder, "101", EventLog.lines(line -> {}));
        SharedIdempotencyClaims next = new SharedIdempotencyClaims(folder, "202", EventLog.lines(line -> {}));
        assertThat(previous.claim("u 3 k1", 1_000_000, WINDOW_MICROS)).isTrue();
        assertThat(next.claim("u 3 k1", 3_350_000, WINDOW_MICROS))
                .as("a retry within the window")
                .isFalse();
        assertThat(next.claim("u 3 k2", 3_350_000, WINDOW_MICROS))
                .as("another key")
                .isTrue();
        assertThat(previous.claim("u 3 k2", 3_400_000, WINDOW_MICROS)).isFalse();
        assertThat(next.claim("u 3 k1", 6_000_001, WINDOW_MICROS))
                .as("after the window")
                .isTrue();
        assertThat(previous.claim("u 3 k1", 6_500_000, WINDOW_MICROS))
                .as("the newer claim holds")
                .isFalse();
    }

    @Test
    void deletesItsOwnClaimsAfterTheirWindow() throws IOException {
        SharedIdempotencyClaims claims = new SharedIdempotencyClaims(folder, "7", EventLog.lines(line -> {}));
        for (int i = 0; i < 100; i++) {
            assertThat(claims.claim("u 0 key-" + i, 1_000_000 + i, WINDOW_MICROS))
                    .isTrue();
        }
        assertThat(claims.size()).isEqualTo(100);
        try (var files = Files.list(folder)) {
            assertThat(files.count()).isEqualTo(100);
        }
        assertThat(claims.claim("u 0 late", 1_000_100 + WINDOW_MICROS, WINDOW_MICROS))
                .isTrue();
        assertThat(claims.size()).isEqualTo(1);
        try (var files = Files.list(folder)) {
            assertThat(files.count()).isEqualTo(1);
        }
    }

    @Test
    void grantsEveryClaimIfTheFolderCannotBeWritten() throws IOException {
        Path file = Files.writeString(folder.resolve("not-a-folder"), "x");
        SharedIdempotencyClaims claims = new SharedIdempotencyClaims(folder, "7", EventLog.lines(line -> {}));
        Files.delete(file);
        Files.delete(folder);
        assertThat(claims.claim("u 0 k", 1, WINDOW_MICROS)).isTrue();
        assertThat(claims.claim("u 0 k", 2, WINDOW_MICROS)).isTrue();
    }
}
