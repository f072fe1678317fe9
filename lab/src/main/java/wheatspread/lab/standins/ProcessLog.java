package wheatspread.lab.standins;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** Collects the lines that a process prints and lets other threads wait for them; thread-safe. */
public final class ProcessLog {
    private final Process process;
    private final List<String> lines = new ArrayList<>();
    private boolean ended;

    /** Starts a daemon thread, named after {@code name}, that reads the process's output until it ends. */
    public ProcessLog(Process process, String name) {
        this.process = process;
        Thread reader = new Thread(this::read, "log of " + name);
        reader.setDaemon(true);
        reader.start();
    }

    private void read() {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                add(line);
            }
        } catch (IOException e) {
            add("end of the log: " + e.getMessage()); // reading fails when the process is killed
        }
        synchronized (lines) {
            ended = true;
            lines.notifyAll();
        }
    }

    private void add(String line) {
        synchronized (lines) {
            lines.add(line);
            lines.notifyAll();
        }
    }

    /** Returns the lines printed so far. */
    public List<String> lines() {
        synchronized (lines) {
            return List.copyOf(lines);
        }
    }

    /** Returns the number of lines so far that contain a text. */
    public int count(String text) {
        return (int) lines().stream().filter(line -> line.contains(text)).count();
    }

    /**
     * Waits for a line that matches and returns the first. Returns null if none is printed within {@code millis}
     * or the process ends without one.
     */
    public String await(Predicate<String> matches, long millis) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        synchronized (lines) {
            int nextLine = 0;
            while (true) {
                for (; nextLine < lines.size(); nextLine++) {
                    if (matches.test(lines.get(nextLine))) {
                        return lines.get(nextLine);
                    }
                }
                long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
                if (ended || remainingMillis <= 0) {
                    return null;
                }
                lines.wait(remainingMillis);
            }
        }
    }
}
