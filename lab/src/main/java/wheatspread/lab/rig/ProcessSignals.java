package wheatspread.lab.rig;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;

/**
 * Sends signals to processes of the rig, through one shell that stays: a process for each signal would take
 * longer than the slices in which others are starved.
 */
final class ProcessSignals implements AutoCloseable {
    private final Process shell;
    private final Writer out;
    private final BufferedReader in;

    ProcessSignals() throws IOException {
        shell = new ProcessBuilder("/bin/sh").redirectErrorStream(true).start();
        out = shell.outputWriter(StandardCharsets.US_ASCII);
        in = shell.inputReader(StandardCharsets.US_ASCII);
    }

    /** Returns once it is sent; {@code signal} is a name without SIG. What is gone already is no failure. */
    synchronized void send(String signal, ProcessHandle to) throws IOException {
        if (!to.isAlive()) {
            return;
        }
        out.write("kill -" + signal + " " + to.pid() + " 2>/dev/null; echo sent\n");
        out.flush();
        if (in.readLine() == null) {
            throw new IOException("the shell that sends signals has ended");
        }
    }

    @Override
    public void close() {
        shell.destroyForcibly();
    }
}
