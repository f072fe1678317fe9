package wheatspread.daemon;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A caller that does on purpose what callers do at the wrong instant: it ends one side of its connection,
 * resets it, stalls, sends single bytes, or lets its receive window fill.
 */
final class ScriptedPeer implements Closeable {
    /** How a connection ended, as its peer saw it. */
    enum End {
        CLOSED,
        RESET,
        SILENT
    }

    /** A program that stays silent fails a test rather than hang it. */
    private static final long PATIENCE_NS = TimeUnit.SECONDS.toNanos(10);

    private final SocketChannel channel;
    private final StringBuilder read = new StringBuilder();

    private ScriptedPeer(SocketChannel channel) {
        this.channel = channel;
    }

    static ScriptedPeer to(InetSocketAddress address) throws IOException {
        return to(address, 0);
    }

    /** With a receive buffer of so many bytes; 0 for the system's. */
    static ScriptedPeer to(InetSocketAddress address, int window) throws IOException {
        SocketChannel channel = SocketChannel.open();
        if (window > 0) {
            channel.setOption(StandardSocketOptions.SO_RCVBUF, window);
        }
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        channel.connect(address);
        return new ScriptedPeer(channel);
    }

    void write(String text) throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
    }

    /** One byte a segment. */
    void dribble(String text) throws IOException {
        for (byte one : text.getBytes(StandardCharsets.UTF_8)) {
            channel.write(ByteBuffer.wrap(new byte[] {one}));
        }
    }

    /** Says no more, and reads on. */
    void shutOutput() throws IOException {
        channel.shutdownOutput();
    }

    /** Ends both sides at once, with a reset. */
    void reset() throws IOException {
        channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        channel.close();
    }

    /** Reads one line; null where the stream has ended before it. */
    String line() throws IOException {
        channel.configureBlocking(true);
        while (read.indexOf("\n") < 0) {
            if (fill(64) < 0) {
                return null;
            }
        }
        int end = read.indexOf("\n");
        String line = read.substring(0, end);
        read.delete(0, end + 1);
        return line;
    }

    /** Reads to the end of the stream, {@code step} bytes at a time, and tells how it ended. */
    End readToEnd(int step) throws IOException {
        channel.configureBlocking(false);
        long until = System.nanoTime() + PATIENCE_NS;
        try {
            while (System.nanoTime() < until) {
                int got = fill(step);
                if (got < 0) {
                    return End.CLOSED;
                }
                if (got == 0) {
                    Thread.onSpinWait();
                }
            }
            return End.SILENT;
        } catch (IOException e) { // SocketChannel tells of a reset by a plain one
            return End.RESET;
        }
    }

    /** The whole lines read so far and not taken by {@link #line}. */
    List<String> lines() {
        List<String> lines = new ArrayList<>();
        for (int end = read.indexOf("\n"); end >= 0; end = read.indexOf("\n")) {
            lines.add(read.substring(0, end));
            read.delete(0, end + 1);
        }
        return lines;
    }

    private int fill(int most) throws IOException {
        ByteBuffer some = ByteBuffer.allocate(most);
        int got = channel.read(some);
        read.append(new String(some.array(), 0, some.position(), StandardCharsets.UTF_8));
        return got;
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
