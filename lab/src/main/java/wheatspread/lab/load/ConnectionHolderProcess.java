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

/** Runs a {@link ConnectionHolder} in a separate process, since the number of descriptors per process is limited. */
public final class ConnectionHolderProcess implements AutoCloseable {
    private final Process process;
    private final BufferedReader in;
    private final Writer out;

    /** Starts the process without waiting for it; its source addresses begin at {@code firstSourceIndex}. */
    public ConnectionHolderProcess(int port, int count, boolean uwsgi, int firstSourceIndex) throws IOException {
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
                        Integer.toString(firstSourceIndex),
                        uwsgi ? "--uwsgi" : "--uwsgi=false"))
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        in = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        out = process.outputWriter(StandardCharsets.UTF_8);
    }

    /** Sends a command and returns the figures that the process answers. */
    public JSONObject execute(String command) throws IOException {
        sendCommand(command);
        return readReport();
    }

    /** Sends a command without reading its answer. */
    public void sendCommand(String command) throws IOException {
        out.write(command + "\n");
        out.flush();
    }

    /** Reads the next report of the process; blocks until there is one. */
    public JSONObject readReport() throws IOException {
        String line = in.readLine();
        if (line == null) {
            throw new IOException("connection holder process ended without a report");
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
