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
 * What stands between the servers: each is advertised at a socket of this, which passes on to it what
 * {@link LinkModel} lets through. Datagrams are told apart by the port that they come from, streams by the sender
 * that they name. One thread carries the datagrams.
 */
final class Relays implements AutoCloseable {
    private static final int LARGEST = 2_048;
    private static final int LARGEST_STREAM = 2 << 20;

    private final LinkModel links;
    private final MessageCodec codec;
    private final Selector selector;
    private final Map<String, InetSocketAddress> real;
    private final Map<Integer, String> byPort = new HashMap<>();
    private final Map<String, DatagramChannel> channels = new HashMap<>();
    private final Map<String, ServerSocket> doors = new HashMap<>();
    private final PriorityQueue<Late> late = new PriorityQueue<>();
    private final SplittableRandom random;
    /** When the run began; {@link #micros}. */
    private long begin;

    private byte[] lastSeen = new byte[0];
    private long serial;
    private volatile boolean closed;

    /** A datagram on a longer way. */
    private record Late(long at, long serial, String from, String to, byte[] bytes) implements Comparable<Late> {
        @Override
        public int compareTo(Late other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(serial, other.serial);
        }
    }

    /** {@code real} and {@code advertised} by name. */
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
        for (Map.Entry<String, InetSocketAddress> one : advertised.entrySet()) {
            byPort.put(real.get(one.getKey()).getPort(), one.getKey());
            DatagramChannel channel = DatagramChannel.open();
            channel.bind(one.getValue());
            channel.configureBlocking(false);
            channel.register(selector, SelectionKey.OP_READ, one.getKey());
            channels.put(one.getKey(), channel);
            ServerSocket door = new ServerSocket();
            door.setReuseAddress(true);
            door.bind(one.getValue());
            doors.put(one.getKey(), door);
            daemon(() -> acceptStreams(one.getKey(), door), "streams to " + one.getKey());
        }
        daemon(this::carry, "relays");
    }

    private static void daemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    static long micros() {
        return System.nanoTime() / 1_000;
    }

    private synchronized List<Long> deliveryDelays(String from, String to) {
        return links.deliveryDelays(from, to, micros() - begin);
    }

    /** The run begins at that time; no fault holds before. */
    synchronized void beginAt(long now) {
        begin = now;
    }

    synchronized void begin(Fault fault) {
        links.begin(fault);
    }

    synchronized void end(Fault fault) {
        links.end(fault);
    }

    private void carry() {
        ByteBuffer buffer = ByteBuffer.allocate(LARGEST);
        try {
            while (!closed) {
                long wait = late.isEmpty() ? 100 : Math.max(1, (late.peek().at - micros()) / 1_000);
                selector.select(key -> read(key, buffer), wait);
                while (!late.isEmpty() && late.peek().at <= micros()) {
                    Late one = late.poll();
                    pass(one.from, one.to, one.bytes);
                }
            }
        } catch (IOException | ClosedSelectorException e) {
            if (!closed) {
                throw new IllegalStateException("the relays have ended", e);
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
                lastSeen = bytes;
                String from = byPort.get(source.getPort());
                if (from != null) {
                    for (long delay : deliveryDelays(from, to)) {
                        if (delay == 0) {
                            pass(from, to, bytes);
                        } else {
                            late.add(new Late(micros() + delay, serial++, from, to, bytes));
                        }
                    }
                }
            }
        } catch (IOException e) {
            return; // a process that is gone refuses; datagrams may be lost
        }
    }

    /** From the sender's own socket here, so that it looks as if the sender had sent it. */
    private void pass(String from, String to, byte[] bytes) {
        try {
            channels.get(from).send(ByteBuffer.wrap(bytes), real.get(to));
        } catch (IOException e) {
            return; // the same
        }
    }

    /** Sends a spoilt copy of what was seen last. */
    void garbage(String to) {
        byte[] spoilt = lastSeen.clone();
        synchronized (random) {
            for (int i = 0; i < 1 + random.nextInt(6) && spoilt.length > 0; i++) {
                spoilt[random.nextInt(spoilt.length)] = (byte) random.nextInt(256);
            }
        }
        pass(to, to, spoilt);
    }

    private void acceptStreams(String to, ServerSocket door) {
        while (!closed) {
            try {
                Socket one = door.accept();
                daemon(() -> passStream(to, one), "stream to " + to);
            } catch (IOException e) {
                return; // closed
            }
        }
    }

    private void passStream(String to, Socket incoming) {
        try (incoming;
                DataInputStream in = new DataInputStream(incoming.getInputStream())) {
            incoming.setSoTimeout(3_000);
            int length = in.readInt();
            if (length < 0 || length > LARGEST_STREAM) {
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
                out.getInputStream().read(); // until it is taken
            }
        } catch (IOException | MalformedMessageException e) {
            return; // the sender or the receiver is gone
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        selector.close();
        for (DatagramChannel one : channels.values()) {
            one.close();
        }
        for (ServerSocket one : doors.values()) {
            one.close();
        }
    }
}
