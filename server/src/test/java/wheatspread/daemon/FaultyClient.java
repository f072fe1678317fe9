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
final class FaultyClient implements Closeable {
    /** How a connection ended, as its peer saw it. */
    enum StreamEnd {
        CLOSED,
        RESET,
        SILENT
    }

    /** A program that stays silent fails a test rather than hang it. */
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final SocketChannel channel;
    private final StringBuilder read = new StringBuilder();

    private FaultyClient(SocketChannel channel) {
        this.channel = channel;
    }

    static FaultyClient to(InetSocketAddress address) throws IOException {
        return to(address, 0);
    }

    /** With a receive buffer of so many bytes; 0 for the system's. */
    static FaultyClient to(InetSocketAddress address, int receiveBufferBytes) throws IOException {
        SocketChannel channel = SocketChannel.open();
        if (receiveBufferBytes > 0) {
            channel.setOption(StandardSocketOptions.SO_RCVBUF, receiveBufferBytes);
        }
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        channel.connect(address);
        return new FaultyClient(channel);
    }

    void write(String text) throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
    }

    /** Writes one byte a segment. */
    void writeBytewise(String text) throws IOException {
        for (byte singleByte : text.getBytes(StandardCharsets.UTF_8)) {
            channel.write(ByteBuffer.wrap(new byte[] {singleByte}));
        }
    }

    /** Shuts the output down; the input stays open. */
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

    /** Reads to the end of the stream, {@code maxBytes} at a time, and returns how it ended. */
    StreamEnd readToEnd(int maxBytes) throws IOException {
        channel.configureBlocking(false);
        long deadlineNanos = System.nanoTime() + TIMEOUT_NANOS;
        try {
            while (System.nanoTime() < deadlineNanos) {
                int count = fill(maxBytes);
                if (count < 0) {
                    return StreamEnd.CLOSED;
                }
                if (count == 0) {
                    Thread.onSpinWait();
                }
            }
            return StreamEnd.SILENT;
        } catch (IOException e) { // SocketChannel reports a reset as a plain IOException
            return StreamEnd.RESET;
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

    private int fill(int maxBytes) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(maxBytes);
        int count = channel.read(buffer);
        read.append(new String(buffer.array(), 0, buffer.position(), StandardCharsets.UTF_8));
        return count;
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
