package wheatspread.lab.faults;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import wheatspread.peers.MalformedMessageException;
import wheatspread.peers.MessageCodec;

/**
 * Relays the traffic between the servers: each server is advertised at a socket of this class, which forwards to
 * it what {@link LinkModel} lets through. The sender of a datagram is identified by its source port, the sender of
 * a stream by its message. One thread relays all datagrams; each stream has a thread.
 */
final class Relays implements AutoCloseable {
    private static final int MAX_DATAGRAM_BYTES = 2_048;
    private static final int MAX_STREAM_BYTES = 2 << 20;

    private final LinkModel links;
    private final MessageCodec codec;
    private final Selector selector;
    private final Map<String, InetSocketAddress> real;
    private final Map<Integer, String> memberByPort = new HashMap<>();
    private final Map<String, DatagramChannel> channels = new HashMap<>();
    private final Map<String, ServerSocket> serverSockets = new HashMap<>();
    private final PriorityQueue<Delayed> delayed = new PriorityQueue<>();
    private final SplittableRandom random;
    /** Start of the run, in the time of {@link #micros}. */
    private long beginMicros;

    private byte[] lastDatagram = new byte[0];
    private long serial;
    private volatile boolean closed;

    /** A datagram whose delivery is delayed; {@code serial} orders datagrams that are due at the same time. */
    private record Delayed(long dueMicros, long serial, String from, String to, byte[] bytes)
            implements Comparable<Delayed> {
        @Override
        public int compareTo(Delayed other) {
            return dueMicros != other.dueMicros
                    ? Long.compare(dueMicros, other.dueMicros)
                    : Long.compare(serial, other.serial);
        }
    }

    /** Binds the advertised addresses; {@code real} and {@code advertised} are keyed by member name. */
    Relays(
            LinkModel links,
            String cluster,
            Map<String, InetSocketAddress> real,
            Map<String, InetSocketAddress> advertised,
            long seed)
            throws IOException {
        this.links = links;
        this.real = real;
        random = new SplittableRandom(seed);
        codec = new MessageCodec(cluster, "0.0.0.0:1");
        selector = Selector.open();
        for (Map.Entry<String, InetSocketAddress> member : advertised.entrySet()) {
            memberByPort.put(real.get(member.getKey()).getPort(), member.getKey());
            DatagramChannel channel = DatagramChannel.open();
            channel.bind(member.getValue());
            channel.configureBlocking(false);
            channel.register(selector, SelectionKey.OP_READ, member.getKey());
            channels.put(member.getKey(), channel);
            ServerSocket serverSocket = new ServerSocket();
            serverSocket.setReuseAddress(true);
            serverSocket.bind(member.getValue());
            serverSockets.put(member.getKey(), serverSocket);
            startDaemon(() -> acceptStreams(member.getKey(), serverSocket), "streams to " + member.getKey());
        }
        startDaemon(this::relayDatagrams, "relays");
    }

    private static void startDaemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    static long micros() {
        return System.nanoTime() / 1_000;
    }

    private synchronized List<Long> deliveryDelays(String from, String to) {
        return links.deliveryDelays(from, to, micros() - beginMicros);
    }

    /** Sets the start of the run, from which the times of faults count; no fault applies before. */
    synchronized void beginAt(long startMicros) {
        beginMicros = startMicros;
    }

    synchronized void begin(Fault fault) {
        links.begin(fault);
    }

    synchronized void end(Fault fault) {
        links.end(fault);
    }

    private void relayDatagrams() {
        ByteBuffer buffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);
        try {
            while (!closed) {
                long waitMillis = delayed.isEmpty() ? 100 : Math.max(1, (delayed.peek().dueMicros - micros()) / 1_000);
                selector.select(key -> read(key, buffer), waitMillis);
                while (!delayed.isEmpty() && delayed.peek().dueMicros <= micros()) {
                    Delayed datagram = delayed.poll();
                    forward(datagram.from, datagram.to, datagram.bytes);
                }
            }
        } catch (IOException | ClosedSelectorException e) {
            if (!closed) {
                throw new IllegalStateException("datagram relay failed", e);
            }
        }
    }

    private void read(SelectionKey key, ByteBuffer buffer) {
        String to = (String) key.attachment();
        try {
            DatagramChannel channel = (DatagramChannel) key.channel();
            buffer.clear();
            for (InetSocketAddress source = (InetSocketAddress) channel.receive(buffer);
                    source != null;
                    source = (InetSocketAddress) channel.receive(buffer)) {
                byte[] bytes = new byte[buffer.flip().remaining()];
                buffer.get(bytes);
                buffer.clear();
                lastDatagram = bytes;
                String from = memberByPort.get(source.getPort());
                if (from != null) {
                    for (long delay : deliveryDelays(from, to)) {
                        if (delay == 0) {
                            forward(from, to, bytes);
                        } else {
                            delayed.add(new Delayed(micros() + delay, serial++, from, to, bytes));
                        }
                    }
                }
            }
        } catch (IOException e) {
            return; // an ended process refuses datagrams, and datagrams may be lost
        }
    }

    /** Sends from the sender's advertised socket, so that the receiver sees the sender's advertised address. */
    private void forward(String from, String to, byte[] bytes) {
        try {
            channels.get(from).send(ByteBuffer.wrap(bytes), real.get(to));
        } catch (IOException e) {
            return; // as in read: datagrams may be lost
        }
    }

    /** Sends a copy of the last received datagram with random bytes changed. */
    void sendGarbage(String to) {
        byte[] garbled = lastDatagram.clone();
        synchronized (random) {
            for (int i = 0; i < 1 + random.nextInt(6) && garbled.length > 0; i++) {
                garbled[random.nextInt(garbled.length)] = (byte) random.nextInt(256);
            }
        }
        forward(to, to, garbled);
    }

    private void acceptStreams(String to, ServerSocket serverSocket) {
        while (!closed) {
            try {
                Socket incoming = serverSocket.accept();
                startDaemon(() -> forwardStream(to, incoming), "stream to " + to);
            } catch (IOException e) {
                return; // the socket was closed
            }
        }
    }

    private void forwardStream(String to, Socket incoming) {
        try (incoming;
                DataInputStream in = new DataInputStream(incoming.getInputStream())) {
            incoming.setSoTimeout(3_000);
            int length = in.readInt();
            if (length < 0 || length > MAX_STREAM_BYTES) {
                return;
            }
            byte[] bytes = in.readNBytes(length);
            String from = codec.decode(bytes).message().from().name();
            if (deliveryDelays(from, to).isEmpty()) {
                return;
            }
            try (Socket out = new Socket()) {
                out.connect(real.get(to), 1_000);
                DataOutputStream data = new DataOutputStream(out.getOutputStream());
                data.writeInt(length);
                data.write(bytes);
                data.flush();
                out.shutdownOutput();
                out.setSoTimeout(1_000);
                out.getInputStream().read(); // waits until the receiver has read the message
            }
        } catch (IOException | MalformedMessageException e) {
            return; // the sender or the receiver has ended
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        selector.close();
        for (DatagramChannel channel : channels.values()) {
            channel.close();
        }
        for (ServerSocket socket : serverSockets.values()) {
            socket.close();
        }
    }
}
