package wheatspread.lab.clients;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/** Clients that connect at once and write the same bytes in parts, none of which blocks. */
final class ConcurrentClients implements AutoCloseable {
    private final List<SocketChannel> channels = new ArrayList<>();
    private final List<ByteBuffer> unwritten = new ArrayList<>();

    /** Connects {@code size} clients; the server may close any of them. */
    ConcurrentClients(InetSocketAddress address, int size, byte[] bytes) throws IOException {
        for (int i = 0; i < size; i++) {
            SocketChannel channel = SocketChannel.open(address);
            channel.configureBlocking(false);
            channels.add(channel);
            unwritten.add(ByteBuffer.wrap(bytes));
        }
    }

    /** Writes up to {@code maxBytes} of the rest of its bytes on each connection that is still open. */
    void write(int maxBytes) throws IOException {
        for (int i = 0; i < channels.size(); i++) {
            ByteBuffer rest = unwritten.get(i);
            ByteBuffer part = rest.slice(rest.position(), Math.min(maxBytes, rest.remaining()));
            try {
                rest.position(rest.position() + channels.get(i).write(part));
            } catch (IOException e) {
                channels.get(i).close(); // the server has closed the connection
                rest.position(rest.limit());
            }
        }
    }

    @Override
    public void close() throws IOException {
        for (SocketChannel channel : channels) {
            channel.close();
        }
    }
}
