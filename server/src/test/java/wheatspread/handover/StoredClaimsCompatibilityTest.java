package wheatspread.handover;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wheatspread.logging.EventLog;

/** Tests claims written by an earlier release; the README of the test resources describes how to create them. */
class StoredClaimsCompatibilityTest {
    private static final Path STORED = Path.of("src/test/resources/compatibility/handover/claims");
    private static final long FIRST_ARRIVAL_MICROS = 1_700_000_000_000_000L;
    private static final long SECOND_ARRIVAL_MICROS = FIRST_ARRIVAL_MICROS + 1_000_000;
    private static final long RENEWED_ARRIVAL_MICROS = FIRST_ARRIVAL_MICROS + 2_000_000;
    private static final long WINDOW_MICROS = 5_000_000;
    private static final String STORED_PROCESS_ID = "4711";
    private static final String OTHER_PROCESS_ID = "202";

    @TempDir
    Path folder;

    @BeforeEach
    void copyStoredClaims() throws IOException {
        try (Stream<Path> files = Files.list(STORED)) {
            for (Path file : files.toList()) {
                Files.copy(file, folder.resolve(file.getFileName()));
            }
        }
    }

    private static SharedIdempotencyClaims claims(Path folder, String processId) throws IOException {
        return new SharedIdempotencyClaims(folder, processId, EventLog.lines(line -> {
            throw new AssertionError(line);
        }));
    }

    private static Map<String, String> contents(Path folder) throws IOException {
        Map<String, String> contents = new TreeMap<>();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                contents.put(file.getFileName().toString(), Files.readString(file, StandardCharsets.US_ASCII));
            }
        }
        return contents;
    }

    @Test
    void rejectsKeysThatTheEarlierReleaseClaimedWithinTheirWindow() throws IOException {
        SharedIdempotencyClaims claims = claims(folder, OTHER_PROCESS_ID);
        assertThat(claims.claim("u 5c0f", FIRST_ARRIVAL_MICROS + WINDOW_MICROS, WINDOW_MICROS))
                .isFalse();
        assertThat(claims.claim("u Žemaitija 小麦", SECOND_ARRIVAL_MICROS + WINDOW_MICROS, WINDOW_MICROS))
                .isFalse();
        assertThat(claims.claim("u renewed", RENEWED_ARRIVAL_MICROS + WINDOW_MICROS, WINDOW_MICROS))
                .isFalse();
        assertThat(contents(folder)).isEqualTo(contents(STORED));
    }

    @Test
    void grantsKeysThatTheEarlierReleaseClaimedAfterTheirWindow() throws IOException {
        SharedIdempotencyClaims claims = claims(folder, OTHER_PROCESS_ID);
        long arrivalMicros = FIRST_ARRIVAL_MICROS + WINDOW_MICROS + 1;
        assertThat(claims.claim("u 5c0f", arrivalMicros, WINDOW_MICROS)).isTrue();
        assertThat(contents(folder)).containsEntry("a7563c6f9a37df2b6443ea998e6dbdd2", "202 " + arrivalMicros + "\n");
    }

    @Test
    void grantsKeysThatTheSameProcessClaimed() throws IOException {
        SharedIdempotencyClaims claims = claims(folder, STORED_PROCESS_ID);
        assertThat(claims.claim("u 5c0f", FIRST_ARRIVAL_MICROS, WINDOW_MICROS)).isTrue();
    }

    @Test
    void writesTheFilesThatTheEarlierReleaseReads(@TempDir Path emptyFolder) throws IOException {
        SharedIdempotencyClaims claims = claims(emptyFolder, STORED_PROCESS_ID);
        claims.claim("u 5c0f", FIRST_ARRIVAL_MICROS, WINDOW_MICROS);
        claims.claim("u Žemaitija 小麦", SECOND_ARRIVAL_MICROS, WINDOW_MICROS);
        claims.claim("u renewed", RENEWED_ARRIVAL_MICROS, WINDOW_MICROS);
        assertThat(contents(emptyFolder)).isEqualTo(contents(STORED)).hasSize(3);
    }
}
