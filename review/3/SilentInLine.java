import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A proxy is silent in the middle of a line while another of its requests is open, and then goes on. */
final class SilentInLine {
    private static final int ROUNDS = 4;
    /** The requests of a round before the silence, for 3.5 s, and from its end on. */
    private static final int BEFORE = 35;

    private static final int AFTER = 20;
    private static final long INTERVAL_MS = 100;
    private static final long SILENCE_MS = 2_500;
    private static final long SLOW_RUN_MS = 3_500;
    private static final long LIMIT_MS = 11_000;
    /** The slack of the settings, and what the protocol adds to every time limit on sockets. */
    private static final long SLACK_MS = 60 + 50;
    /** A share of requests without a final answer up to this one breaks no rule on days with trouble. */
    private static final double ALLOWED_SHARE = 0.003;
    /** A request that crosses a close within this time is sent again. */
    private static final long CROSSING_MS = 50;

    private SilentInLine() {}

    public static void main(String[] args) throws Exception {
        Case.run(args, SilentInLine::play);
    }

    private static void play(World world, Path root, Path folder, boolean trouble) throws Exception {
        int port = ServerProcess.freePort();
        Kernel kernel = new Kernel(world, "kernel");
        kernel.runMillis = 200;
        kernel.slowRunMillis = SLOW_RUN_MS;
        kernel.callsPerRun = 1;
        String config = Settings.hapag(port, kernel.listen(), Services.records(20), Services.announce());
        Map<World.Try, Proxy> proxyOf = new HashMap<>();
        try (kernel;
                ServerProcess server = ServerProcess.start(root, folder, "n1", config)) {
            server.awaitLog("to=SERVING", 30_000);
            Proxy proxy = new Proxy(world, port);
            for (int round = 0; round < ROUNDS; round++) {
                if (proxy.closed()) {
                    proxy = new Proxy(world, port);
                }
                for (int i = 0; i < BEFORE; i++) {
                    proxyOf.put(page(proxy, "before " + round + "." + i), proxy);
                    Thread.sleep(INTERVAL_MS);
                }
                proxyOf.put(page(proxy, "slow " + round), proxy);
                Thread.sleep(INTERVAL_MS);
                byte[] body = ("cut " + round).getBytes(StandardCharsets.UTF_8);
                proxyOf.put(proxy.sendInPieces("recipe-page", null, body, LIMIT_MS, trouble ? SILENCE_MS : 0), proxy);
                for (int i = 0; i < AFTER; i++) {
                    // a proxy uses a connection until the server ends it or asks for no more
                    if (proxy.closed()) {
                        proxy = new Proxy(world, port);
                    }
                    proxyOf.put(page(proxy, "after " + round + "." + i), proxy);
                    Thread.sleep(INTERVAL_MS);
                }
                Thread.sleep(2_500);
            }
            Thread.sleep(LIMIT_MS + 1_000);
        }
        check(world, proxyOf);
    }

    private static World.Try page(Proxy proxy, String body) throws Exception {
        return proxy.send("recipe-page", null, body.getBytes(StandardCharsets.UTF_8), LIMIT_MS);
    }

    private static void check(World world, Map<World.Try, Proxy> proxyOf) throws Exception {
        List<String> lost = new ArrayList<>();
        int answered = 0;
        for (World.Try attempt : world.tries.values()) {
            Proxy proxy = proxyOf.get(attempt);
            if (attempt.answers.size() > 1) {
                throw new Case.BrokenException(attempt.txn + " has " + attempt.answers.size() + " answers");
            }
            boolean inTime = !attempt.answers.isEmpty() && attempt.answeredAt <= attempt.door + attempt.limit + SLACK_MS;
            long beforeClose = proxy.endedAt - attempt.written;
            boolean crossed = attempt.answers.isEmpty() && proxy.endedAt > 0 && beforeClose <= CROSSING_MS;
            answered += inTime ? 1 : 0;
            if (!inTime && !crossed) {
                lost.add(attempt.txn + " (" + new String(attempt.body, StandardCharsets.UTF_8) + "), written " + beforeClose
                        + " ms before the server ended the connection, answers " + attempt.answers);
            }
        }
        lost.forEach(line -> world.log("lost: " + line));
        world.log(answered + " of " + world.tries.size() + " requests were answered in time");
        if (lost.size() > ALLOWED_SHARE * world.tries.size()) {
            throw new Case.BrokenException(
                    lost.size() + " of " + world.tries.size() + " requests got no final answer, the first: " + lost.get(0));
        }
    }
}
