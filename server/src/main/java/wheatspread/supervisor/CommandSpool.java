package wheatspread.supervisor;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.json.JSONException;
import org.json.JSONObject;
import wheatspread.daemon.AtomicFile;

/**
 * How commands reach a supervisor: as files in a folder, renamed into place, so that one that was given
 * while the supervisor was dead is carried out when it comes back. An answer is a file beside the command.
 * Who may write to the folder may command the fleet; its mode is the operator's.
 */
public final class CommandSpool {
    private static final int LOOK_MS = 50;
    /** Commands that wait; further ones are refused. */
    private static final int MOST_WAITING = 100;

    private final Path folder;

    public CommandSpool(Path fleetDir) throws IOException {
        folder = Files.createDirectories(fleetDir.resolve("commands"));
    }

    /** One that waits. */
    record Command(Path file, JSONObject told) {}

    /** Puts a command, and waits for the answer; null if none came in time. */
    public JSONObject ask(JSONObject command, long timeoutMillis) throws IOException, InterruptedException {
        if (waiting().size() >= MOST_WAITING) {
            throw new IOException(MOST_WAITING + " commands wait; nobody reads them");
        }
        String name = String.format(
                "%016d-%d", System.currentTimeMillis(), ProcessHandle.current().pid());
        Path answer = folder.resolve(name + ".done");
        AtomicFile.write(folder.resolve(name + ".json"), command + "\n");
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (System.nanoTime() < until) {
            try {
                JSONObject told = new JSONObject(Files.readString(answer));
                Files.delete(answer);
                return told;
            } catch (NoSuchFileException e) {
                TimeUnit.MILLISECONDS.sleep(LOOK_MS);
            }
        }
        return null;
    }

    private List<Path> waiting() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(file -> file.toString().endsWith(".json"))
                    .sorted()
                    .toList();
        }
    }

    /** The oldest command that waits; null if none does. One that cannot be read is answered and dropped. */
    Command next() throws IOException {
        for (Path file : waiting()) {
            try {
                return new Command(file, new JSONObject(Files.readString(file)));
            } catch (JSONException e) {
                answer(new Command(file, null), new JSONObject().put("error", "is not a JSON object"));
            }
        }
        return null;
    }

    /** Answers a command and takes it away; the answer first, or a crash would lose it. */
    void answer(Command command, JSONObject told) throws IOException {
        String name = command.file().getFileName().toString();
        AtomicFile.write(folder.resolve(name.replace(".json", ".done")), told + "\n");
        Files.deleteIfExists(command.file());
    }
}
