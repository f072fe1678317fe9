package wheatspread.commands;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.Closeable;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;
import wheatspread.disk.FolderDisk;
import wheatspread.logging.EventLog;
import wheatspread.store.Store;
import wheatspread.store.StoreSettings;

class StoreCommandTest {
    @TempDir
    private Path folder;

    private String out;
    private String err;

    @BeforeEach
    void fillStore() throws IOException {
        StoreSettings settings = StoreSettings.DEFAULT.withSizes(4_096, 1 << 20, 4_096);
        Store store = Store.open(FolderDisk.make(folder), settings, Store.Clock.SYSTEM, Runnable::run, EventLog.NONE);
        for (int i = 0; i < 300; i++) {
            store.put(
                    ("key " + i % 30).getBytes(StandardCharsets.UTF_8),
                    ("value " + i).getBytes(StandardCharsets.UTF_8),
                    0,
                    (outcome, reason) -> {});
        }
        store.put(new byte[] {(byte) 0xFF}, new byte[] {(byte) 0xFE}, 0, (outcome, reason) -> {});
        store.close();
    }

    private int run(String... args) {
        StringWriter output = new StringWriter();
        StringWriter errors = new StringWriter();
        CommandLine line =
                Wheatspread.fullCommandLine().setOut(new PrintWriter(output)).setErr(new PrintWriter(errors));
        int code =
                line.execute(Stream.concat(Stream.of("store"), Stream.of(args)).toArray(String[]::new));
        out = output.toString();
        err = errors.toString();
        return code;
    }

    private Path longestLog() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(file -> file.toString().endsWith(".log"))
                    .max(Comparator.comparingLong(file -> file.toFile().length()))
                    .orElseThrow();
        }
    }

    @Test
    void checksDumpsAndCompactsStore() throws IOException {
        assertThat(run("check", folder.toString())).isZero();
        assertThat(out).contains("31 keys, no damage found");
        assertThat(run("dump", folder.toString(), "--prefix", "key 7")).isZero();
        assertThat(new org.json.JSONObject(out).toMap())
                .isEqualTo(Map.of("key", "key 7", "value", "value 277", "expires_ms", 0));
        assertThat(run("dump", folder.toString())).isZero();
        assertThat(out.lines()).hasSize(31).anyMatch(line -> line.contains("\"key64\":\"/w==\""));
        assertThat(run("compact", folder.toString())).isZero();
        assertThat(out).contains("store_compacted");
        assertThat(run("stat", folder.toString(), "--json")).isZero();
        assertThat(new org.json.JSONObject(out).getJSONArray("files")).hasSize(1);
        assertThat(run("dump", folder.toString(), "--keys")).isZero();
        assertThat(out.lines()).hasSize(31);
    }

    @Test
    void checkReportsDamageWithoutWritingAndCompactAcceptsLoss() throws IOException {
        byte[] bytes = Files.readAllBytes(longestLog());
        bytes[bytes.length / 2] ^= 4;
        Files.write(longestLog(), bytes);
        assertThat(run("check", folder.toString())).isEqualTo(65);
        assertThat(out).contains("store_damage file=").contains("1 places are damaged");
        assertThat(Files.readAllBytes(longestLog())).isEqualTo(bytes);
        assertThat(run("compact", folder.toString(), "--accept-loss")).isZero();
        assertThat(run("check", folder.toString())).isZero();
    }

    @Test
    void rejectsStoreInUseAndMissingFolder() throws IOException {
        Closeable lock = FolderDisk.of(folder).lock();
        assertThat(run("stat", folder.toString())).isEqualTo(75);
        assertThat(err).contains("is in use by process").doesNotContain("\tat ");
        lock.close();
        assertThat(run("stat", folder.resolve("no").toString())).isEqualTo(66);
        assertThat(run("stat")).isEqualTo(64);
        assertThat(List.of(err.split("\n"))).hasSizeLessThan(4);
    }
}
