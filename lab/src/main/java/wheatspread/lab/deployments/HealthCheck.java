package wheatspread.lab.deployments;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Requests health checks from a server on one connection. The loopback interface delivers in order, so a server that
 * has answered a check has read everything that was written before the check.
 */
final class HealthCheck implements AutoCloseable {
    private static final int TIMEOUT_MS = 10_000;
    private static final String REQUEST = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}\n";

    private Socket socket;
    private BufferedReader answers;

    /** Sends a health check and waits for the answer; returns without one if the server has closed the connection. */
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
            return; // The server has closed the connection and reads nothing more.
        }
    }

    @Override
    public void close() throws IOException {
        if (socket != null) {
            socket.close();
        }
    }
}
