package wheatspread.lab.rig;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/** Selects free ports of the loopback address and returns each at most once. */
public final class Ports {
    private static final int MIN_PORT = 20_000;
    private static final int MAX_PORT = 32_000;
    private static final int MAX_TRIES = 1_000;

    private final Set<Integer> taken = new HashSet<>();

    /**
     * Returns a free port below the system's ephemeral range, so that no client connection takes it while its
     * server restarts.
     */
    public InetSocketAddress next() throws IOException {
        for (int i = 0; i < MAX_TRIES; i++) {
            int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                if (taken.add(socket.getLocalPort())) {
                    return new InetSocketAddress("127.0.0.1", port);
                }
            } catch (BindException e) {
                continue; // in use by another process
            }
        }
        throw new IOException(
                "no free port between " + MIN_PORT + " and " + MAX_PORT + " after " + MAX_TRIES + " tries");
    }
}
