package wheatspread.lab.clients;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import wheatspread.lab.Sites;

/**
 * A well-behaved client that sends a request at a time and records how long each answer takes. If the server closes its
 * idle connection, the client sends the request again on a new one, which the recorded time includes.
 */
final class Probe implements AutoCloseable {
    private static final AtomicLong ATTEMPTS = new AtomicLong(1L << 40);
    private static final int ANSWER_TIMEOUT_MS = 10_000;
    private static final int MAX_ATTEMPTS = 5;
    private static final long INTERVAL_MS = 10;
    private static final Sites.Kind KIND = Sites.KINDS.get(1);
    /** The latency objective of the requests that the probe sends. */
    static final double LATENCY_OBJECTIVE_MS = KIND.latencyObjectiveMillis();

    private final InetSocketAddress address;
    private final boolean uwsgi;
    private final Thread thread;
    private final List<Double> latenciesMillis = Collections.synchronizedList(new ArrayList<>());
    private Socket socket;
    private BufferedReader lines;
    private long lastId;
    /** The time when the open request was first sent; 0 if no request is open. */
    private volatile long openSinceNanos;

    private volatile boolean stopped;
    private volatile String failure;

    Probe(InetSocketAddress address, boolean uwsgi) {
        this.address = address;
        this.uwsgi = uwsgi;
        thread = new Thread(this::run, "probe of " + address);
        thread.setDaemon(true);
        thread.start();
    }

    /** Removes and returns the latencies recorded so far, sorted. */
    List<Double> takeLatencies() {
        synchronized (latenciesMillis) {
            List<Double> sorted = new ArrayList<>(latenciesMillis);
            Collections.sort(sorted);
            latenciesMillis.clear();
            return sorted;
        }
    }

    /** Returns how long the open request has waited for its answer; 0 if none is open. */
    double openRequestMillis() {
        long sinceNanos = openSinceNanos;
        return sinceNanos == 0 ? 0 : (System.nanoTime() - sinceNanos) / 1e6;
    }

    /** Returns why the probe ended; null while it goes on. */
    String failure() {
        return failure;
    }

    private void run() {
        try {
            while (!stopped) {
                long beganNanos = System.nanoTime();
                openSinceNanos = beganNanos;
                String answer = null;
                for (int attempts = 0; answer == null && attempts < MAX_ATTEMPTS; attempts++) {
                    answer = exchange();
                }
                if (answer == null) {
                    throw new IOException("no answer on " + MAX_ATTEMPTS + " connections");
                }
                latenciesMillis.add((System.nanoTime() - beganNanos) / 1e6);
                openSinceNanos = 0;
                TimeUnit.MILLISECONDS.sleep(INTERVAL_MS);
            }
        } catch (IOException | InterruptedException e) {
            failure = e.toString();
        } finally {
            disconnect();
        }
    }

    /** Sends a request and returns the first line of its answer; null if the server closed the connection. */
    private String exchange() throws IOException {
        try {
            if (socket == null) {
                connect();
            }
            socket.getOutputStream().write(uwsgi ? HostileBytes.uwsgiRequest("/search") : jsonRpcRequest());
            String answer = uwsgi ? readResponse(lines) : lines.readLine();
            if (answer == null) {
                disconnect();
            }
            return answer;
        } catch (SocketTimeoutException e) {
            throw e;
        } catch (SocketException e) {
            disconnect();
            return null;
        }
    }

    private void connect() throws IOException {
        socket = new Socket(address.getAddress(), address.getPort());
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(ANSWER_TIMEOUT_MS);
        lines = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        lastId = 0;
    }

    private void disconnect() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            failure = e.toString();
        }
        socket = null;
    }

    private byte[] jsonRpcRequest() {
        String attempt = String.format("%016x", ATTEMPTS.incrementAndGet());
        return Sites.request(++lastId, KIND, Sites.TENANTS.get(0), attempt, System.currentTimeMillis())
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** Reads one response and returns its status line; null at the end of the stream. */
    private static String readResponse(BufferedReader in) throws IOException {
        String status = in.readLine();
        int bodyBytes = 0;
        for (String header = status; header != null && !header.isEmpty(); header = in.readLine()) {
            if (header.startsWith("Content-Length: ")) {
                bodyBytes = Integer.parseInt(header.substring("Content-Length: ".length()));
            }
        }
        return in.skip(bodyBytes) == bodyBytes ? status : null;
    }

    @Override
    public void close() {
        stopped = true;
        try {
            thread.join(ANSWER_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
