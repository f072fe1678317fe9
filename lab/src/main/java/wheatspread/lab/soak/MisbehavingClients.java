package wheatspread.lab.soak;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** Bad clients that connect all at once: slow writers, half lines, invalid lines, resets and silent ones. */
final class MisbehavingClients implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final long SLOW_BYTE_INTERVAL_MS = 50;
    private static final int SLOW_BYTES = 40;
    private static final long MAX_LIFETIME_MS = 4_000;
    private static final long CLOSE_TIMEOUT_S = 10;
    private static final byte[] HALF_LINE =
            "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"sea".getBytes(StandardCharsets.UTF_8);
    private static final byte[] INVALID_LINE = "no request at all\n".getBytes(StandardCharsets.UTF_8);

    private enum Behaviour {
        SILENT,
        HALF_LINE,
        INVALID_LINE,
        SLOW,
        RESET
    }

    private final ExecutorService executor;

    /** Starts {@code size} clients of these addresses; the seed draws what they do. */
    MisbehavingClients(List<InetSocketAddress> addresses, int size, long seed) {
        this(addresses, size, new Random(seed));
    }

    private MisbehavingClients(List<InetSocketAddress> addresses, int size, Random random) {
        executor = Executors.newFixedThreadPool(Math.max(1, size));
        for (int i = 0; i < size; i++) {
            InetSocketAddress address = addresses.get(random.nextInt(addresses.size()));
            Behaviour behaviour = Behaviour.values()[random.nextInt(Behaviour.values().length)];
            long lifetimeMillis = random.nextLong(MAX_LIFETIME_MS);
            executor.submit(() -> {
                behave(address, behaviour, lifetimeMillis);
                return null;
            });
        }
    }

    private static void behave(InetSocketAddress address, Behaviour behaviour, long lifetimeMillis)
            throws InterruptedException {
        try (Socket socket = new Socket()) {
            socket.connect(address, CONNECT_TIMEOUT_MS);
            OutputStream out = socket.getOutputStream();
            switch (behaviour) {
                case HALF_LINE -> out.write(HALF_LINE);
                case INVALID_LINE -> out.write(INVALID_LINE);
                case SLOW -> writeSlowly(out);
                case RESET -> {
                    out.write(HALF_LINE);
                    socket.setSoLinger(true, 0);
                }
                default -> {}
            }
            TimeUnit.MILLISECONDS.sleep(lifetimeMillis);
        } catch (IOException e) {
            return; // a server may refuse or close such a connection at any time
        }
    }

    private static void writeSlowly(OutputStream out) throws IOException, InterruptedException {
        for (int i = 0; i < SLOW_BYTES; i++) {
            out.write(HALF_LINE[i % HALF_LINE.length]);
            TimeUnit.MILLISECONDS.sleep(SLOW_BYTE_INTERVAL_MS);
        }
    }

    /** Waits until all clients have left. */
    @Override
    public void close() {
        executor.shutdown();
        try {
            if (!executor.awaitTermination(CLOSE_TIMEOUT_S, TimeUnit.SECONDS)) {
                executor.shutdownNow();
            }
        } catch (InterruptedException e) {
            executor.shutdownNow();
            Thread.currentThread().interrupt();
        }
    }
}
