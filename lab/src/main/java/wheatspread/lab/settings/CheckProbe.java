package wheatspread.lab.settings;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import org.json.JSONObject;

/**
 * Sends a check, which a server answers at once, a hundred times a second, and measures the time from when it was due
 * to be sent until its answer. This shows from outside how long the server's event loop was busy with other work.
 */
final class CheckProbe implements AutoCloseable {
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private static final int READ_TIMEOUT_MS = 30_000;

    private final Socket socket;
    private final Thread thread;
    private Histogram times = newHistogram();
    private volatile boolean closed;

    CheckProbe(InetSocketAddress address) throws IOException {
        socket = new Socket(address.getAddress(), address.getPort());
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(READ_TIMEOUT_MS);
        thread = new Thread(this::run, "check probe");
        thread.setDaemon(true);
        thread.start();
    }

    private static Histogram newHistogram() {
        return new Histogram(1, TimeUnit.MINUTES.toMicros(1), 3);
    }

    private void run() {
        byte[] check = JsonRpcWire.CHECK.getBytes(StandardCharsets.US_ASCII);
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8))) {
            for (long dueNanos = System.nanoTime(); !closed; dueNanos += INTERVAL_NANOS) {
                LockSupport.parkNanos(dueNanos - System.nanoTime());
                socket.getOutputStream().write(check);
                if (in.readLine() == null) {
                    return;
                }
                record((System.nanoTime() - dueNanos) / 1_000);
            }
        } catch (IOException e) {
            closed = true; // the server has ended, or did not answer within the timeout
        }
    }

    private synchronized void record(long micros) {
        times.recordValue(Math.max(1, micros));
    }

    /** Discards the measured times. */
    synchronized void reset() {
        times = newHistogram();
    }

    /** Returns a quantile of the answer times since the last {@link #reset}, in milliseconds. */
    synchronized double millis(double percent) {
        return times.getValueAtPercentile(percent) / 1e3;
    }

    synchronized JSONObject figures() {
        return new JSONObject()
                .put("answered", times.getTotalCount())
                .put("ms_p50", millis(50))
                .put("ms_p99", millis(99))
                .put("ms_max", times.getMaxValue() / 1e3);
    }

    @Override
    public void close() throws IOException {
        closed = true;
        socket.close();
    }
}
