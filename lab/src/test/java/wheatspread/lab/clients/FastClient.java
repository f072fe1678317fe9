package wheatspread.lab.clients;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

/** A client that writes messages on one connection as fast as the server reads them, and discards the answers. */
final class FastClient implements AutoCloseable {
    private static final int MESSAGES_PER_WRITE = 200;
    private static final int READ_BYTES = 1 << 16;
    private static final long JOIN_TIMEOUT_MS = 10_000;

    private final InetSocketAddress address;
    private final IntFunction<byte[]> messages;
    private final Thread writer = new Thread(this::run, "fast client");
    private volatile boolean stopped;
    private volatile Socket socket;

    /** {@code messages} returns the message of a number; the client connects again if the server closes. */
    FastClient(InetSocketAddress address, IntFunction<byte[]> messages) {
        this.address = address;
        this.messages = messages;
        writer.setDaemon(true);
        writer.start();
    }

    private void run() {
        int number = 0;
        while (!stopped) {
            try (Socket connection = new Socket(address.getAddress(), address.getPort())) {
                socket = connection;
                startReader(connection);
                while (!stopped) {
                    ByteArrayOutputStream part = new ByteArrayOutputStream();
                    for (int i = 0; i < MESSAGES_PER_WRITE; i++) {
                        part.writeBytes(messages.apply(number++));
                    }
                    connection.getOutputStream().write(part.toByteArray());
                }
            } catch (IOException e) {
                number++; // the server closed the connection
            }
        }
    }

    private static void startReader(Socket connection) {
        Thread reader = new Thread(() -> {
            byte[] answers = new byte[READ_BYTES];
            try (InputStream in = connection.getInputStream()) {
                int count = 0;
                while (count >= 0) {
                    count = in.read(answers);
                }
            } catch (IOException e) {
                return; // the connection was closed
            }
        });
        reader.setDaemon(true);
        reader.start();
    }

    /** Returns after the client has written for a number of seconds; it goes on until it is closed. */
    void writeFor(long seconds) throws InterruptedException {
        TimeUnit.SECONDS.sleep(seconds);
    }

    @Override
    public void close() {
        stopped = true;
        try {
            Socket connection = socket;
            if (connection != null) {
                connection.close();
            }
            writer.join(JOIN_TIMEOUT_MS);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
