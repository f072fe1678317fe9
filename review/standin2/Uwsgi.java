package review2;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A caller of the uwsgi front: one connection, one request or several in order, responses as HTTP. */
final class Uwsgi implements AutoCloseable {
    /**
     * A response: its status line without the version, its body, and whether its header {@code Connection: close} says
     * that no further response follows.
     */
    record Response(String status, String body, boolean lastOnConnection) {
        boolean served() {
            return status.startsWith("200");
        }
    }

    private final Socket socket = new Socket();

    Uwsgi(InetSocketAddress server, int timeoutMs) throws IOException {
        socket.connect(server, 5_000);
        socket.setSoTimeout(timeoutMs);
        socket.setTcpNoDelay(true);
    }

    void send(Map<String, String> vars, String body) throws IOException {
        ByteArrayOutputStream packet = new ByteArrayOutputStream();
        vars.forEach((name, value) -> {
            text(packet, name);
            text(packet, value);
        });
        text(packet, "CONTENT_LENGTH");
        text(packet, Integer.toString(body.length()));
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(0);
        all.write(packet.size() & 0xff);
        all.write(packet.size() >> 8);
        all.write(0);
        packet.writeTo(all);
        all.write(body.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().write(all.toByteArray());
    }

    private static void text(ByteArrayOutputStream out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        out.write(bytes.length & 0xff);
        out.write(bytes.length >> 8);
        out.writeBytes(bytes);
    }

    /** Reads the next response; throws an IOException if the connection ends, or the time-out passes, without one. */
    Response receive() throws IOException {
        InputStream in = socket.getInputStream();
        String status = line(in);
        int length = 0;
        boolean last = false;
        for (String header = line(in); !header.isEmpty(); header = line(in)) {
            if (header.toLowerCase().startsWith("content-length:")) {
                length = Integer.parseInt(header.substring(header.indexOf(':') + 1).trim());
            }
            last |= header.equalsIgnoreCase("Connection: close");
        }
        byte[] body = new byte[length];
        new DataInputStream(in).readFully(body);
        return new Response(status.substring(status.indexOf(' ') + 1), new String(body, StandardCharsets.ISO_8859_1), last);
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new IOException("the connection ended without a response");
            }
            line.append((char) c);
        }
        return line.toString().strip();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
