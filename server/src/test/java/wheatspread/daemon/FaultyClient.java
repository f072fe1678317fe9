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
 * A client that simulates connection faults: it shuts down one direction of its connection, resets the connection,
 * stalls, sends single bytes, or lets its receive window fill.
 */
final class FaultyClient implements Closeable {
    /** How a connection ended, as seen by this client. */
    enum StreamEnd {
        CLOSED,
        RESET,
        SILENT
    }

    /** A server that does not answer within this time fails the test instead of blocking it. */
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final SocketChannel channel;
    private final StringBuilder receivedText = new StringBuilder();

    private FaultyClient(SocketChannel channel) {
        this.channel = channel;
    }

    static FaultyClient connect(InetSocketAddress address) throws IOException {
        return connect(address, 0);
    }

    /** Connects with a receive buffer of {@code receiveBufferBytes}; 0 for the system's default. */
    static FaultyClient connect(InetSocketAddress address, int receiveBufferBytes) throws IOException {
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

    /** Writes each byte in a separate segment. */
    void writeByteByByte(String text) throws IOException {
        for (byte singleByte : text.getBytes(StandardCharsets.UTF_8)) {
            channel.write(ByteBuffer.wrap(new byte[] {singleByte}));
        }
    }

    /** Shuts down the output; the input remains open. */
    void shutdownOutput() throws IOException {
        channel.shutdownOutput();
    }

    /** Closes the connection with a TCP reset. */
    void reset() throws IOException {
        channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        channel.close();
    }

    /** Reads one line; returns null if the stream ends before a complete line. */
    String readLine() throws IOException {
        channel.configureBlocking(true);
        while (receivedText.indexOf("\n") < 0) {
            if (fill(64) < 0) {
                return null;
            }
        }
        int end = receivedText.indexOf("\n");
        String line = receivedText.substring(0, end);
        receivedText.delete(0, end + 1);
        return line;
    }

    /** Reads to the end of the stream, at most {@code maxBytes} per read, and returns how the stream ended. */
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

    /** Removes and returns the complete lines that were read so far and that {@link #readLine} has not returned. */
    List<String> takeLines() {
        List<String> lines = new ArrayList<>();
        for (int end = receivedText.indexOf("\n"); end >= 0; end = receivedText.indexOf("\n")) {
            lines.add(receivedText.substring(0, end));
            receivedText.delete(0, end + 1);
        }
        return lines;
    }

    private int fill(int maxBytes) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(maxBytes);
        int count = channel.read(buffer);
        receivedText.append(new String(buffer.array(), 0, buffer.position(), StandardCharsets.UTF_8));
        return count;
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
