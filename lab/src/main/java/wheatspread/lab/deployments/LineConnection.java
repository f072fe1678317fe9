package wheatspread.lab.deployments;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A connection that carries lines. What is read never waits for more. */
final class LineConnection {
    private final Socket socket;
    /** The beginning of a line whose end has not come yet. */
    private final StringBuilder unread = new StringBuilder();

    LineConnection(Socket socket) {
        this.socket = socket;
    }

    /** The whole lines that have come. */
    List<String> lines() {
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
            return; // it has closed; what it owes is judged all the same
        }
    }

    /** Whether the other side has closed it, or it was reset; only for a socket that has a channel. */
    boolean hasEnded() {
        try {
            SocketChannel channel = socket.getChannel();
            ByteBuffer next = ByteBuffer.allocate(1);
            channel.configureBlocking(false);
            boolean over = channel.read(next) < 0;
            if (next.position() > 0) {
                unread.append((char) next.get(0));
            }
            channel.configureBlocking(true);
            return over;
        } catch (IOException e) {
            return true; // it was reset
        }
    }

    void close() throws IOException {
        socket.close();
    }

    /** Closes it, whatever a failure says. */
    void closeQuietly() {
        try {
            close();
        } catch (IOException e) {
            return; // it is closed
        }
    }
}
