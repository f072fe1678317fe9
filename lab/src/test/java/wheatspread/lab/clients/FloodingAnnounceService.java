package wheatspread.lab.clients;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** An announce service that answers the first report of a connection with responses without end. */
final class FloodingAnnounceService implements AutoCloseable {
    private static final byte[] RESPONSES =
            "HTTP/1.1 204 No Content\r\n\r\n".repeat(400).getBytes(StandardCharsets.US_ASCII);

    private final ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    FloodingAnnounceService() throws IOException {
        Thread acceptor = new Thread(this::serve, "flooding announce service");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    InetSocketAddress address() {
        return new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
    }

    private void serve() {
        while (!socket.isClosed()) {
            try (Socket connection = socket.accept()) {
                connection.getInputStream().read();
                while (!socket.isClosed()) {
                    connection.getOutputStream().write(RESPONSES);
                }
            } catch (IOException e) {
                continue; // the server closed the connection, or the service is closed
            }
        }
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
