package wheatspread.lab.standins;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** What a process prints, read by a thread of its own, and waited for. */
public final class ProcessLog {
    private final Process process;
    private final List<String> lines = new ArrayList<>();
    private boolean ended;

    /** Reads what the process prints, on a thread of its own with this name, until the process ends. */
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
            add("end of the log: " + e.getMessage()); // it was ended by force
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

    /** All it printed so far. */
    public List<String> lines() {
        synchronized (lines) {
            return List.copyOf(lines);
        }
    }

    /** How many lines have this text so far. */
    public int count(String text) {
        return (int) lines().stream().filter(line -> line.contains(text)).count();
    }

    /** The first line that passes, once it is there; null where it does not come in time, or never will. */
    public String await(Predicate<String> wanted, long millis) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        synchronized (lines) {
            int read = 0;
            while (true) {
                for (; read < lines.size(); read++) {
                    if (wanted.test(lines.get(read))) {
                        return lines.get(read);
                    }
                }
                long left = TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime());
                if (ended || left <= 0) {
                    return null;
                }
                lines.wait(left);
            }
        }
    }
}
