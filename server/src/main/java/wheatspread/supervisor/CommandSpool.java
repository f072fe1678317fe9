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
 * The queue of commands to a supervisor, kept as files in the fleet's directory. Each command file is renamed into
 * place, and the answer is written to a second file in the same directory. A command that is submitted while no
 * supervisor runs is carried out by the next supervisor. Every user with write access to the directory can send
 * commands; the operator sets the mode of the directory.
 */
public final class CommandSpool {
    private static final String COMMAND_SUFFIX = ".json";
    private static final String ANSWER_SUFFIX = ".done";
    private static final int POLL_INTERVAL_MILLIS = 50;
    /** The maximum number of pending commands; further commands are rejected. */
    private static final int MAX_PENDING_COMMANDS = 100;

    private final Path directory;

    /** Creates the command directory if it does not exist. */
    public CommandSpool(Path fleetDir) throws IOException {
        directory = Files.createDirectories(fleetDir.resolve("commands"));
    }

    /** A pending command; {@code arguments} is null if the file holds no JSON object. */
    record Command(Path file, JSONObject arguments) {}

    /** Submits a command and blocks until it is answered. Returns the answer; null if the timeout expires first. */
    public JSONObject submit(JSONObject command, long timeoutMillis) throws IOException, InterruptedException {
        if (pendingFiles().size() >= MAX_PENDING_COMMANDS) {
            throw new IOException("command rejected: " + MAX_PENDING_COMMANDS + " commands are pending in " + directory
                    + "; no supervisor is reading them");
        }
        String name = String.format(
                "%016d-%d", System.currentTimeMillis(), ProcessHandle.current().pid());
        Path answer = directory.resolve(name + ANSWER_SUFFIX);
        AtomicFile.write(directory.resolve(name + COMMAND_SUFFIX), command + "\n");
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (System.nanoTime() < deadlineNanos) {
            try {
                JSONObject content = new JSONObject(Files.readString(answer));
                Files.delete(answer);
                return content;
            } catch (NoSuchFileException e) {
                TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
            }
        }
        return null;
    }

    private List<Path> pendingFiles() throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.filter(file -> file.toString().endsWith(COMMAND_SUFFIX))
                    .sorted()
                    .toList();
        }
    }

    /** Returns the oldest pending command; null if there is none. A file that is not JSON is answered with an error. */
    Command next() throws IOException {
        for (Path file : pendingFiles()) {
            try {
                return new Command(file, new JSONObject(Files.readString(file)));
            } catch (JSONException e) {
                answer(new Command(file, null), new JSONObject().put("error", "is not a JSON object"));
            }
        }
        return null;
    }

    /** Answers a command and removes its file. The answer is written first, so that a crash cannot lose it. */
    void answer(Command command, JSONObject answer) throws IOException {
        String name = command.file().getFileName().toString();
        AtomicFile.write(directory.resolve(name.replace(COMMAND_SUFFIX, ANSWER_SUFFIX)), answer + "\n");
        Files.deleteIfExists(command.file());
    }
}
