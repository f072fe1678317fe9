package wheatspread.lab.deployments;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A connection that carries lines of text. Reading never blocks. */
final class LineConnection {
    private final Socket socket;
    /** The beginning of a line whose end has not been received yet. */
    private final StringBuilder unread = new StringBuilder();

    LineConnection(Socket socket) {
        this.socket = socket;
    }

    /** Returns the complete lines received since the last call. */
    List<String> readLines() {
        List<String> lines = new ArrayList<>();
        try {
            InputStream in = socket.getInputStream();
            if (in.available() > 0) {
                unread.append(new String(in.readNBytes(in.available()), StandardCharsets.UTF_8));
            }
        } catch (IOException e) {
            return lines;
        }
        for (int end = unread.indexOf("\n"); end >= 0; end = unread.indexOf("\n")) {
            lines.add(unread.substring(0, end));
            unread.delete(0, end + 1);
        }
        return lines;
    }

    void write(String text) {
        try {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            return; // The peer has closed; the rules about missing answers still apply.
        }
    }

    /** Whether the peer has closed or reset the connection; the socket must have a channel. */
    boolean isClosedByPeer() {
        try {
            SocketChannel channel = socket.getChannel();
            ByteBuffer buffer = ByteBuffer.allocate(1);
            channel.configureBlocking(false);
            boolean ended = channel.read(buffer) < 0;
            if (buffer.position() > 0) {
                unread.append((char) buffer.get(0));
            }
            channel.configureBlocking(true);
            return ended;
        } catch (IOException e) {
            return true; // The connection was reset.
        }
    }

    void close() throws IOException {
        socket.close();
    }

    /** Closes the connection and ignores a failure to close it. */
    void closeQuietly() {
        try {
            close();
        } catch (IOException e) {
            return; // The connection is unusable in either case.
        }
    }
}
