package wheatspread.lab.deployments;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Asks a server for its health, on one connection. The answer stands behind all that was written before, in
 * the order of the loopback, so a server that has answered has read it.
 */
final class HealthCheck implements AutoCloseable {
    private static final int TIMEOUT_MS = 10_000;
    private static final String REQUEST = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}\n";

    private Socket socket;
    private BufferedReader answers;

    /** Asks, and waits for the answer; a server that has closed gives none. */
    void await(InetSocketAddress address) {
        try {
            if (socket == null) {
                socket = new Socket(address.getAddress(), address.getPort());
                socket.setSoTimeout(TIMEOUT_MS);
                answers = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            }
            new LineConnection(socket).write(REQUEST);
            for (String line = answers.readLine(); line != null && line.contains("lastCall"); ) {
                line = answers.readLine();
            }
        } catch (IOException e) {
            return; // it has closed: there is nothing left to settle
        }
    }

    @Override
    public void close() throws IOException {
        if (socket != null) {
            socket.close();
        }
    }
}
