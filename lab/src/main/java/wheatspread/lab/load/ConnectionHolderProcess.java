package wheatspread.lab.load;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;

/** A {@link ConnectionHolder} in a process of its own, since a process may hold only so many descriptors. */
public final class ConnectionHolderProcess implements AutoCloseable {
    private final Process process;
    private final BufferedReader in;
    private final Writer out;

    /** Starts the process and waits for nothing; connections come from addresses that begin at {@code firstSource}. */
    public ConnectionHolderProcess(int port, int count, boolean uwsgi, int firstSource) throws IOException {
        Path java = Path.of(System.getProperty("java.home"), "bin", "java");
        process = new ProcessBuilder(List.of(
                        java.toString(),
                        "-Xmx1g",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "wheatspread.lab.Lab",
                        "hold",
                        "--port",
                        Integer.toString(port),
                        "--count",
                        Integer.toString(count),
                        "--first-source",
                        Integer.toString(firstSource),
                        uwsgi ? "--uwsgi" : "--uwsgi=false"))
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        in = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        out = process.outputWriter(StandardCharsets.UTF_8);
    }

    /** Says a word, and returns the figures it answers. */
    public JSONObject execute(String word) throws IOException {
        sendCommand(word);
        return readReport();
    }

    public void sendCommand(String word) throws IOException {
        out.write(word + "\n");
        out.flush();
    }

    /** Reads the next report of the process; blocks until there is one. */
    public JSONObject readReport() throws IOException {
        String line = in.readLine();
        if (line == null) {
            throw new IOException("the process that holds connections ended");
        }
        return new JSONObject(line);
    }

    @Override
    public void close() {
        try {
            out.close();
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (IOException | InterruptedException e) {
            process.destroyForcibly();
            return;
        }
        process.destroyForcibly();
    }
}
