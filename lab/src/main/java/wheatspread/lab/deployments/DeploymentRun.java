package wheatspread.lab.deployments;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;
import org.json.JSONObject;
import wheatspread.config.Fields;
import wheatspread.config.OperatorConfig;
import wheatspread.config.ServerConfig;
import wheatspread.daemon.Server;
import wheatspread.lab.deployments.Deployment.Effect;
import wheatspread.lab.deployments.Deployment.Kind;
import wheatspread.lab.deployments.Judge.Try;
import wheatspread.life.Life.Phase;
import wheatspread.logging.EventLog;

/**
 * Starts one server of a deployment on real sockets, on a clock that the run moves on, plays a light load, a
 * crowd, repeats and a notice to leave against it, and has each rule judged. The same every time.
 */
public final class DeploymentRun implements AutoCloseable {
    private static final long START = 1_700_000_000_000_000L;
    private static final long SECOND = 1_000_000;
    private static final long LIGHT_UNTIL = 2 * SECOND;
    private static final long CROWD_UNTIL = 5 * SECOND / 2;
    private static final long NOTICE = 5 * SECOND;
    private static final long LAST_ASK = 8 * SECOND;
    private static final long STOP_MOST = 4 * SECOND;
    private static final int MOST_OPEN = 32;
    private static final int ROUNDS = 4;
    private static final int PATIENCE_MS = 10_000;

    /** What a demand for a field would make of a configuration or of a request's parameters: for tests. */
    public record Planted(UnaryOperator<JSONObject> config, UnaryOperator<JSONObject> params) {
        public static final Planted NONE = new Planted(told -> told, told -> told);
    }

    private record Event(long at, long number, Runnable what) {}

    private final Deployment site;
    private final Planted planted;
    private final SplittableRandom random;
    private final Judge judge;
    private final Kernel kernel;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final List<Link> links = new ArrayList<>();
    private final List<Socket> recordsCalls = new ArrayList<>();
    private final Map<Socket, StringBuilder> read = new HashMap<>();
    private final List<Try> keyed = new ArrayList<>();
    private ServerSocketChannel records;
    private Socket kernelLink;
    private Socket asking;
    private BufferedReader askingIn;
    private SteppedClock clock;
    private Server server;
    private long now = START;
    private long numbers;

    /** A proxy's connection, with the tries that are open on it by their ids. */
    private static final class Link {
        final Socket socket;
        final Map<Integer, String> open = new HashMap<>();
        int lastId;
        boolean lastCall;

        Link(Socket socket) {
            this.socket = socket;
        }
    }

    public DeploymentRun(Deployment site, long seed, Planted planted) {
        this.site = site;
        this.planted = planted;
        random = new SplittableRandom(seed);
        judge = new Judge(site);
        kernel = new Kernel(site, judge, START + LIGHT_UNTIL, (micros, what) -> at(now + micros, what), this::toKernel);
    }

    /** Plays it and returns the rules that were broken; empty where all held. */
    public List<String> play() throws IOException {
        try (ServerSocket kernels = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            records = ServerSocketChannel.open().bind(new InetSocketAddress("127.0.0.1", 0));
            records.configureBlocking(false);
            JSONObject told = planted.config.apply(site.config(
                    "127.0.0.1:" + kernels.getLocalPort(),
                    "127.0.0.1:" + records.socket().getLocalPort(),
                    "127.0.0.1:9"));
            try {
                ServerConfig config = ServerConfig.read(Fields.of(told.toMap(), ""));
                server = new Server(
                        config,
                        OperatorConfig.NONE,
                        (loop, turns) -> clock = new SteppedClock(loop, START),
                        EventLog.NONE);
            } catch (IllegalArgumentException e) {
                judge.broken("no start: " + e.getMessage());
                return judge.broken;
            }
            server.start();
            kernels.setSoTimeout(PATIENCE_MS);
            kernelLink = kernels.accept();
            ask();
            plan();
            run();
        }
        judge.end(now);
        return judge.broken;
    }

    // ---- what is asked ----

    private void plan() {
        int asked = 3 * site.cores;
        long gap = Math.max(30_000, 400_000 / site.cores);
        for (long at = SECOND / 5; at < LIGHT_UNTIL; at += gap) {
            at(START + at, () -> request(true));
        }
        for (int i = 0; i < Math.min(120, 12 * asked); i++) {
            at(START + LIGHT_UNTIL + random.nextLong(CROWD_UNTIL - LIGHT_UNTIL), () -> request(false));
        }
        for (long at = CROWD_UNTIL; at < LAST_ASK; at += 2 * gap) {
            at(START + at, () -> request(false));
        }
        at(START + NOTICE, () -> {
            judge.notice(now);
            server.drain();
        });
    }

    private void request(boolean light) {
        Kind kind = site.kinds.get(random.nextInt(site.kinds.size()));
        boolean repeats = kind.effect() == Effect.KEYED && !keyed.isEmpty() && random.nextInt(4) == 0;
        Try first = repeats ? keyed.get(random.nextInt(keyed.size())) : null;
        String txn = String.format("%016x", random.nextLong());
        boolean mayShare = kind.effect() == Effect.SAFE && site.items && site.fresh > 0;
        String key = kind.effect() == Effect.KEYED
                ? first == null ? "unique-" + txn : first.key
                : mayShare ? "item-" + random.nextInt(20) + kind.name() : null;
        Kind asked = first == null ? kind : first.kind;
        long limit = asked.deadline() - (site.limited ? random.nextLong(asked.deadline() / 4) : 0);
        Try one = new Try(txn, asked, key, now, now + limit * 1_000, 20 + random.nextInt(10), light);
        Link link = link();
        if (link == null) {
            return; // refused: it proves that nothing ran
        }
        if (asked.effect() == Effect.KEYED && first == null) {
            keyed.add(one);
        }
        int id = ++link.lastId;
        JSONObject params = new JSONObject()
                .put("txn", txn)
                .put("door", now / 1_000)
                .put("ram", one.ram)
                .put("blob", Kernel.encode(one.body()));
        if (site.limited) {
            params.put("limit", limit);
        }
        if (site.hinted) {
            params.put("cpu", 30.5);
        }
        if (site.named) {
            params.put("lb", 2).put("standing", random.nextDouble());
        }
        if (!site.tenants.isEmpty()) {
            params.put("team", site.tenants.get(random.nextInt(site.tenants.size())));
        }
        if (site.marked && (repeats || random.nextInt(5) == 0)) {
            params.put("second", 1);
        }
        if (asked.effect() == Effect.KEYED) {
            params.put("unique", key);
        } else if (site.items && asked.effect() == Effect.SAFE) {
            params.put("item", key == null ? "item-of-" + txn : key);
        }
        judge.written(one);
        link.open.put(id, txn);
        write(
                link.socket,
                new JSONObject()
                                .put("jsonrpc", "2.0")
                                .put("id", id)
                                .put("method", asked.name())
                                .put("params", planted.params.apply(params))
                        + "\n");
        if (site.tellsGone && !light && random.nextInt(8) == 0) {
            at(now + 10_000 + random.nextLong(asked.deadline() * 500), () -> interrupt(link, id, one));
        }
    }

    private void interrupt(Link link, int id, Try one) {
        if (one.answer == null) {
            one.gone = true;
            write(link.socket, "{\"jsonrpc\":\"2.0\",\"method\":\"interrupt\",\"params\":{\"id\":" + id + "}}\n");
            kernel.gone(one.txn);
        }
    }

    private Link link() {
        for (Link link : links) {
            if (!link.lastCall && link.open.size() < MOST_OPEN && random.nextInt(3) > 0) {
                return link;
            }
        }
        try {
            InetSocketAddress to = server.bound().get(0);
            Link link = new Link(SocketChannel.open(new InetSocketAddress(to.getAddress(), to.getPort()))
                    .socket());
            links.add(link);
            return link;
        } catch (IOException e) {
            return null;
        }
    }

    // ---- time ----

    private void at(long time, Runnable what) {
        events.add(new Event(time, ++numbers, what));
    }

    private void run() throws IOException {
        long end = START + NOTICE + STOP_MOST + SECOND;
        settle();
        while (now < end && server.phase() != Phase.STOPPED) {
            long next = Math.min(clock.next(), events.isEmpty() ? Long.MAX_VALUE : events.peek().at);
            now = Math.max(now, Math.min(next, end));
            kernel.at(now, START);
            clock.to(now);
            while (!events.isEmpty() && events.peek().at <= now) {
                events.poll().what.run();
            }
            settle();
        }
        if (server.phase() != Phase.STOPPED) {
            judge.broken("drain: the server has not left by its stop");
        }
    }

    /** Reads and carries out all that comes until nothing more does. */
    private void settle() throws IOException {
        for (int quiet = 0; quiet < ROUNDS; quiet++) {
            ask();
            clock.idle();
            if (pump()) {
                quiet = -1;
            }
        }
    }

    /** A health check's answer stands behind all that was written before, in the order of the loopback. */
    private void ask() {
        try {
            if (asking == null) {
                InetSocketAddress to = server.bound().get(0);
                asking = new Socket(to.getAddress(), to.getPort());
                asking.setSoTimeout(PATIENCE_MS);
                askingIn = new BufferedReader(new InputStreamReader(asking.getInputStream(), StandardCharsets.UTF_8));
            }
            write(asking, "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}\n");
            for (String line = askingIn.readLine(); line != null && line.contains("lastCall"); ) {
                line = askingIn.readLine();
            }
        } catch (IOException e) {
            return; // it has closed: there is nothing left to settle
        }
    }

    private boolean pump() throws IOException {
        boolean some = false;
        for (String line : lines(kernelLink)) {
            some = true;
            kernel.command(new JSONObject(line));
        }
        for (SocketChannel call = records.accept(); call != null; call = records.accept()) {
            recordsCalls.add(call.socket());
        }
        for (Socket call : List.copyOf(recordsCalls)) {
            for (String line : lines(call)) {
                some = true;
                String[] words = line.trim().split(" ");
                if (words[0].equals("OP")) {
                    kernel.called(words[1], text -> write(call, text));
                }
            }
        }
        for (Link link : List.copyOf(links)) {
            for (String line : lines(link.socket)) {
                some = true;
                answer(link, new JSONObject(line));
            }
            if (!link.open.isEmpty() && ended(link)) {
                link.open.values().forEach(txn -> judge.crossed(txn, now));
                link.open.clear();
                links.remove(link);
            }
        }
        return some;
    }

    private void answer(Link link, JSONObject message) {
        if (message.optString("method").equals("lastCall")) {
            link.lastCall = true;
            return;
        }
        String txn = link.open.remove(message.optInt("id"));
        if (txn == null) {
            judge.broken("duplicate: an answer to nothing open: " + message);
        } else {
            judge.answered(txn, message, now);
            kernel.gone(txn);
        }
    }

    // ---- bytes ----

    /** A connection has ended: what crossed that is sent again, anything older is lost. */
    private boolean ended(Link link) {
        try {
            ByteBuffer some = ByteBuffer.allocate(1);
            link.socket.getChannel().configureBlocking(false);
            boolean over = link.socket.getChannel().read(some) < 0;
            if (some.position() > 0) {
                read.get(link.socket).append((char) some.get(0));
            }
            link.socket.getChannel().configureBlocking(true);
            if (!over) {
                return false;
            }
        } catch (IOException e) {
            // it was reset
        }
        close(link.socket);
        return true;
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            return; // it is closed
        }
    }

    /** The whole lines that have come. */
    private List<String> lines(Socket socket) throws IOException {
        StringBuilder so = read.computeIfAbsent(socket, one -> new StringBuilder());
        List<String> lines = new ArrayList<>();
        try {
            InputStream in = socket.getInputStream();
            if (in.available() > 0) {
                so.append(new String(in.readNBytes(in.available()), StandardCharsets.UTF_8));
            }
        } catch (IOException e) {
            return lines;
        }
        for (int end = so.indexOf("\n"); end >= 0; end = so.indexOf("\n")) {
            lines.add(so.substring(0, end));
            so.delete(0, end + 1);
        }
        return lines;
    }

    private void toKernel(String text) {
        write(kernelLink, text);
    }

    private static void write(Socket socket, String text) {
        try {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            return; // it has closed; what it owes is judged all the same
        }
    }

    /** Ends the server; one that does not leave by itself is told to until it does. */
    @Override
    public void close() throws IOException {
        for (Link link : links) {
            link.socket.close();
        }
        for (Socket socket : new Socket[] {kernelLink, asking}) {
            if (socket != null) {
                socket.close();
            }
        }
        for (Socket call : recordsCalls) {
            call.close();
        }
        if (records != null) {
            records.close();
        }
        if (server != null && server.phase() == Phase.STOPPED) {
            try {
                server.awaitStopped();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
