package wheatspread.lab.rig;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;

/**
 * Sends signals to processes through one long-lived shell, since starting a process for each signal would take
 * longer than the time slices used to starve processes of CPU.
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

    /** Sends a signal, named without SIG, and returns once it is sent; does nothing if the process has ended. */
    synchronized void send(String signal, ProcessHandle target) throws IOException {
        if (!target.isAlive()) {
            return;
        }
        out.write("kill -" + signal + " " + target.pid() + " 2>/dev/null; echo sent\n");
        out.flush();
        if (in.readLine() == null) {
            throw new IOException("shell ended, cannot send SIG" + signal + " to process " + target.pid());
        }
    }

    @Override
    public void close() {
        shell.destroyForcibly();
    }
}
