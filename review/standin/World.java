import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the stand-ins of one case saw: every try, its runs and its answers. Also writes record.txt. Thread-safe. */
final class World implements AutoCloseable {
    /** One try of a request, as a proxy sent it. Guarded by the world. */
    static final class Try {
        String txn;
        /** The key of a keyed request; null for other classes. */
        String key;

        String kind;
        byte[] body;
        /** Unix milliseconds at which the request came to the machine. */
        long door;

        long limit;
        /** Unix milliseconds at which the last byte was written; 0 before. */
        long written;
        /** Whether it is answered or given up. */
        boolean over;

        final List<String> answers = new ArrayList<>();
        /** Unix milliseconds of the first answer; 0 before. */
        long answeredAt;
        final List<Long> runsAt = new ArrayList<>();
        /** The results that runs of this try made, in base64. */
        final List<String> results = new ArrayList<>();
    }

    final Map<String, Try> tries = new LinkedHashMap<>();
    private final List<Runnable> overListeners = new ArrayList<>();
    private final PrintWriter record;
    private final long startMillis = now();

    World(Path recordFile) throws Exception {
        record = new PrintWriter(Files.newBufferedWriter(recordFile, StandardCharsets.UTF_8));
    }

    /** Unix time in milliseconds. */
    static long now() {
        return System.currentTimeMillis();
    }

    synchronized void log(String text) {
        record.printf("%8.3f %s%n", (now() - startMillis) / 1000.0, text);
        record.flush();
    }

    synchronized void add(Try attempt) {
        tries.put(attempt.txn, attempt);
    }

    /** Runs {@code listener} whenever a try is over. */
    synchronized void onOver(Runnable listener) {
        overListeners.add(listener);
    }

    void over(Try attempt) {
        List<Runnable> listeners;
        synchronized (this) {
            attempt.over = true;
            listeners = List.copyOf(overListeners);
        }
        listeners.forEach(Runnable::run);
    }

    /** Returns the tries of every key. */
    private Map<String, List<Try>> byKey() {
        Map<String, List<Try>> byKey = new LinkedHashMap<>();
        for (Try attempt : tries.values()) {
            if (attempt.key != null) {
                byKey.computeIfAbsent(attempt.key, key -> new ArrayList<>()).add(attempt);
            }
        }
        return byKey;
    }

    /**
     * Returns the breaches of the rule on keyed requests: a try ran although it was written within the window, counted
     * from the arrival of a try of the same request that ran before. A try that ran twice is one as well.
     */
    synchronized List<String> doubleRuns(long windowMillis) {
        List<String> found = new ArrayList<>();
        for (Map.Entry<String, List<Try>> entry : byKey().entrySet()) {
            List<long[]> runs = new ArrayList<>();
            for (Try attempt : entry.getValue()) {
                for (long at : attempt.runsAt) {
                    runs.add(new long[] {at, attempt.door, attempt.written});
                }
            }
            runs.sort((a, b) -> Long.compare(a[0], b[0]));
            for (int later = 1; later < runs.size(); later++) {
                long writtenAfterDoor = runs.get(later)[2] - runs.get(0)[1];
                if (writtenAfterDoor <= windowMillis) {
                    found.add("key " + entry.getKey() + " ran " + runs.size() + " times; the later run's try was written "
                            + writtenAfterDoor + " ms after the arrival of the first, the window is " + windowMillis);
                    break;
                }
            }
        }
        return found;
    }

    @Override
    public synchronized void close() {
        record.close();
    }

    // ---- flat JSON objects ----

    private static final Map<String, Pattern> TEXT = new ConcurrentHashMap<>();
    private static final Map<String, Pattern> NUMBER = new ConcurrentHashMap<>();

    /** Returns a string field of a flat JSON object; null if it is absent. The values have no escapes. */
    static String text(String json, String field) {
        Matcher matcher = TEXT.computeIfAbsent(field, name -> Pattern.compile("\"" + name + "\":\"([^\"]*)\""))
                .matcher(json);
        return matcher.find() ? matcher.group(1) : null;
    }

    /** Returns a whole number of a JSON object; -1 if it is absent. */
    static long number(String json, String field) {
        Matcher matcher = NUMBER.computeIfAbsent(field, name -> Pattern.compile("\"" + name + "\":(-?\\d+)"))
                .matcher(json);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : -1;
    }

    static String base64(byte[] bytes) {
        return Base64.getEncoder().encodeToString(bytes);
    }
}
