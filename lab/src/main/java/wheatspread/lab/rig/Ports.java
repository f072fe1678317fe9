package wheatspread.lab.rig;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/** Free ports of the loopback address, each given once. */
public final class Ports {
    private static final int LOWEST = 20_000;
    private static final int HIGHEST = 32_000;
    private static final int TRIES = 1_000;

    private final Set<Integer> taken = new HashSet<>();

    /**
     * A free port below those that the system gives to clients, or one of these could take it in a restart.
     */
    public InetSocketAddress next() throws IOException {
        for (int i = 0; i < TRIES; i++) {
            int port = ThreadLocalRandom.current().nextInt(LOWEST, HIGHEST);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                if (taken.add(socket.getLocalPort())) {
                    return new InetSocketAddress("127.0.0.1", port);
                }
            } catch (BindException e) {
                continue; // somebody else's
            }
        }
        throw new IOException("no port is free");
    }
}
