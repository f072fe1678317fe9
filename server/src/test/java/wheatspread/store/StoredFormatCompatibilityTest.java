package wheatspread.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import wheatspread.disk.DiskFile;
import wheatspread.disk.FolderDisk;
import wheatspread.logging.EventLog;

/** Guards the stored format: a folder written by an earlier release is read, and names and layout stay the same. */
@Timeout(60)
class StoredFormatCompatibilityTest {
    private static final Path STORED = Path.of("src/test/resources/compatibility/store/files");
    private static final List<String> STORED_NAMES = List.of(
            "0000000001.checkpoint",
            "00000001-00000002.2.log",
            "00000003-00000003.0.log",
            "00000004-00000004.0.log",
            "00000005-00000005.0.log");
    /** The time at which the folder was written, in milliseconds since 1970. */
    private static final long WRITTEN_MILLIS = 1_700_000_000_000L;

    private static final long NOW_MILLIS = WRITTEN_MILLIS + 180_000;
    private static final StoreSettings SETTINGS = StoreSettings.DEFAULT.withSizes(1_024, 64 << 10, 1 << 20);

    @TempDir
    private Path folder;

    @BeforeEach
    void copyStoredFolder() throws IOException {
        for (String name : STORED_NAMES) {
            Files.copy(STORED.resolve(name), folder.resolve(name));
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static Map<String, String> expectedValues() {
        Map<String, String> values = new TreeMap<>();
        for (int i = 0; i < 12; i++) {
            values.put("key " + i, "value " + i + " of round 1");
        }
        values.remove("key 3");
        values.remove("key 7");
        values.put("key 5", "value 5 behind the checkpoint");
        values.put("expires late", "there for a day");
        values.put("after the compaction", "one");
        values.put("behind the checkpoint", "\u00e9");
        values.put("empty", "");
        return values;
    }

    private static Store.Clock fixedClock() {
        return new Store.Clock() {
            @Override
            public long nowMillis() {
                return NOW_MILLIS;
            }

            @Override
            public long nanos() {
                return System.nanoTime();
            }
        };
    }

    private Store open() throws IOException {
        return Store.open(FolderDisk.of(folder), SETTINGS, fixedClock(), Runnable::run, EventLog.NONE);
    }

    private static Store.ReadResult get(Store store, String key) {
        CompletableFuture<Store.ReadResult> result = new CompletableFuture<>();
        assertThat(store.get(bytes(key), result::complete)).isNull();
        return result.join();
    }

    private static void assertHoldsExpectedValues(Store store) {
        expectedValues().forEach((key, value) -> {
            Store.ReadResult result = get(store, key);
            assertThat(result.kind()).as(key).isEqualTo(Store.ReadResult.Kind.VALUE);
            assertThat(result.value()).as(key).isEqualTo(bytes(value));
            assertThat(result.expiresMillis())
                    .as(key)
                    .isEqualTo("expires late".equals(key) ? WRITTEN_MILLIS + 86_400_000 : 0);
        });
        for (String key : List.of("key 3", "key 7", "expires soon", "key 12")) {
            assertThat(get(store, key).kind()).as(key).isEqualTo(Store.ReadResult.Kind.ABSENT);
        }
    }

    private List<String> names() {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(file -> file.getFileName().toString()).sorted().toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Test
    void readsEveryStoredKeyBeforeAndAfterARestart() throws IOException {
        try (Store store = open()) {
            assertHoldsExpectedValues(store);
            CompletableFuture<Store.Outcome> written = new CompletableFuture<>();
            assertThat(store.put(bytes("new"), bytes("one"), 0, (outcome, reason) -> written.complete(outcome)))
                    .isNull();
            assertThat(written.join()).isEqualTo(Store.Outcome.HELD);
        }
        try (Store store = open()) {
            assertHoldsExpectedValues(store);
            assertThat(get(store, "new").value()).isEqualTo(bytes("one"));
        }
    }

    @Test
    void checksStoredFolderAndLoadsItsCheckpoint() throws IOException {
        OfflineTools.Inspection inspection = OfflineTools.check(FolderDisk.of(folder), NOW_MILLIS);
        assertThat(inspection.findings()).isEmpty();
        assertThat(inspection.damageCount()).isZero();
        assertThat(inspection.files())
                .extracting(OfflineTools.SegmentInspection::name)
                .containsExactlyElementsOf(STORED_NAMES.subList(1, STORED_NAMES.size()));
        LogStructuredStore store = LogStructuredStore.open(
                FolderDisk.of(folder), SETTINGS, EventLog.NONE, () -> 5, NOW_MILLIS, Recovery.Purpose.READ_WRITE);
        assertThat(store.recovered().fromCheckpoint()).isTrue();
        assertThat(store.recovered().replayedRecords()).isEqualTo(4);
        store.closeFiles();
    }

    @Test
    void compactsAndDumpsStoredFolderWithoutLoss() throws IOException {
        OfflineTools.compact(FolderDisk.of(folder), SETTINGS, NOW_MILLIS, false, EventLog.NONE);
        Map<String, String> dumped = new TreeMap<>();
        long unreadable = OfflineTools.dump(
                FolderDisk.of(folder),
                NOW_MILLIS,
                entry -> dumped.put(
                        new String(entry.key(), StandardCharsets.UTF_8),
                        new String(entry.value(), StandardCharsets.UTF_8)));
        assertThat(unreadable).isZero();
        assertThat(dumped).isEqualTo(expectedValues());
    }

    @Test
    void fileNamesAreUnchanged() throws IOException {
        assertThat(FolderDisk.LOCK_FILE_NAME).isEqualTo("lock");
        assertThat(SegmentName.original(3)).hasToString(STORED_NAMES.get(2));
        assertThat(new SegmentName(1, 2, 2)).hasToString(STORED_NAMES.get(1));
        assertThat(SegmentName.TEMPORARY_SUFFIX).isEqualTo(".new");
        assertThat(SegmentName.DAMAGED_SUFFIX).isEqualTo(".damaged");
        assertThat(Layout.checkpointName(1)).isEqualTo(STORED_NAMES.get(0));
        try (Store store = open()) {
            assertThat(names()).containsAll(STORED_NAMES).contains("lock");
            assertThat(store.stats().segments()).isEqualTo(4);
        }
        assertThat(names()).contains("0000000002.checkpoint");
    }

    @Test
    void magicNumbersAndVersionsAreUnchanged() throws IOException {
        byte[] segmentStart =
                ByteBuffer.allocate(12).put(bytes("wheatlog")).putInt(1).array();
        byte[] checkpointStart = ByteBuffer.allocate(16)
                .put(bytes("wheatchk"))
                .putInt(1)
                .putInt(0)
                .array();
        assertThat(prefix(FileHeader.write(SegmentName.original(1), 2, 3, 4).array(), 12))
                .isEqualTo(segmentStart);
        assertThat(Checkpoints.preamble().array()).isEqualTo(checkpointStart);
        for (String name : STORED_NAMES) {
            byte[] stored = Files.readAllBytes(STORED.resolve(name));
            boolean isCheckpoint = name.endsWith(".checkpoint");
            assertThat(prefix(stored, isCheckpoint ? 16 : 12))
                    .as(name)
                    .isEqualTo(isCheckpoint ? checkpointStart : segmentStart);
        }
    }

    @Test
    void writesSegmentHeaderIdenticalToTheStoredHeader() throws IOException {
        byte[] stored = prefix(Files.readAllBytes(STORED.resolve(STORED_NAMES.get(4))), FileHeader.HEADER_BYTES);
        Format.SegmentHeader header;
        try (DiskFile file = FolderDisk.of(folder).open(STORED_NAMES.get(4))) {
            header = FileHeader.read(file, SegmentName.original(5));
        }
        assertThat(FileHeader.write(SegmentName.original(5), header.getSeed(), header.getMark(), header.getCreatedMs())
                        .array())
                .isEqualTo(stored);
    }

    private static byte[] prefix(byte[] bytes, int length) {
        return Arrays.copyOf(bytes, length);
    }
}
