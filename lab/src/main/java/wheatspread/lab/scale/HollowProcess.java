package wheatspread.lab.scale;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A process of hollow servers that the rig starts and sends orders to. The process exits when its standard input
 * closes.
 */
final class HollowProcess implements AutoCloseable {
    private static final long EXIT_TIMEOUT_SECONDS = 5;

    private final Process process;
    private final BufferedReader in;
    private final Writer out;

    /** Starts a process for members of {@code cluster}; {@code heapMb} is the largest heap of the process. */
    HollowProcess(String cluster, List<String> seeds, int loops, int heapMb, long seed) throws IOException {
        process = new ProcessBuilder(List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        // A collection pause stops all members of the process at once, so pauses are kept short.
                        "-XX:+UseG1GC",
                        "-XX:MaxGCPauseMillis=50",
                        "-XX:ParallelGCThreads=4",
                        "-XX:ConcGCThreads=2",
                        "-XX:TieredStopAtLevel=1",
                        "-Xms" + Math.max(64, heapMb / 2) + "m",
                        "-Xmx" + heapMb + "m",
                        "-Xss512k",
                        "-Djdk.nio.maxCachedBufferSize=65536",
                        "-Dio.netty.allocator.type=unpooled",
                        "-Dio.netty.noPreferDirect=true",
                        "-Djava.net.preferIPv4Stack=true",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "wheatspread.lab.Lab",
                        "hollow",
                        "--cluster",
                        cluster,
                        "--seeds",
                        String.join(",", seeds),
                        "--loops",
                        Integer.toString(loops),
                        "--seed",
                        Long.toString(seed)))
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        in = process.inputReader(StandardCharsets.UTF_8);
        out = process.outputWriter(StandardCharsets.UTF_8);
    }

    long pid() {
        return process.pid();
    }

    /** Sends an order; its report is to be read with {@link #readReport}. */
    void send(HollowOrder order) throws IOException {
        out.write(order.toLine() + "\n");
        out.flush();
    }

    /** Reads the report on the oldest order that is still unanswered; blocks until the process writes it. */
    HollowReport readReport() throws IOException {
        String line = in.readLine();
        if (line == null) {
            throw new IOException(
                    "hollow server process " + pid() + " closed its output before it wrote the report on an order");
        }
        return HollowReport.fromLine(line);
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
