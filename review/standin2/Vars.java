package review2;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Reads the figures of a server at its control address. */
final class Vars {
    private Vars() {}

    static String read(int controlPort) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", controlPort)) {
            socket.setSoTimeout(2_000);
            socket.getOutputStream().write("GET /_vars HTTP/1.1\r\nHost: n\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
