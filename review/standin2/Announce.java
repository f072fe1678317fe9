package review2;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** The announce service, by PROTOCOL "The announce service": it answers each report with 204. */
final class Announce implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));

    Announce() throws IOException {
        Kernel.daemon(this::accept).start();
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                Kernel.daemon(() -> answer(socket)).start();
            }
        } catch (IOException e) {
            // the case is over
        }
    }

    private void answer(Socket socket) {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            int length = 0;
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.toLowerCase().startsWith("content-length:")) {
                    length = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
                } else if (line.isEmpty()) {
                    for (int i = 0; i < length; i++) {
                        in.read();
                    }
                    socket.getOutputStream()
                            .write("HTTP/1.1 204 No Content\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                }
            }
        } catch (IOException e) {
            // the server closed the connection
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
