package review2;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.json.JSONArray;
import org.json.JSONObject;

/** The fleet's file is changed and read again at SIGHUP, while the members serve. */
final class MovedMember {
    private static final long RUN_MS = 300;
    private static final long LIMIT_MS = 11_000;
    private static final long SLACK_MS = 60 + 50;
    /** The default of checks.hung_ms, and some time for the supervisor to act. */
    private static final long WATCH_MS = 15_000 + 10_000;

    private MovedMember() {}

    public static void main(String[] arguments) {
        Case.main(arguments, MovedMember::run);
    }

    private record Sent(String body, long nanos, CompletableFuture<JSONObject> answer) {}

    private static String run(Case c) throws Exception {
        Kernel.Work work = new Kernel.Work() {
            @Override
            public long millis(String kind, byte[] body) {
                return RUN_MS;
            }

            @Override
            public byte[] result(String kind, byte[] body) {
                return ("result of " + Kernel.text(body)).getBytes(StandardCharsets.UTF_8);
            }
        };
        try (Kernel kernel = new Kernel(c.record, work, true);
                Announce announce = new Announce()) {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", Processes.freePort());
            c.write("n1.json", Case.config("n1", "127.0.0.1:0", kernel.address(), announce.address()));
            JSONObject fleet = Fleets.file(c, null);
            fleet.getJSONArray("members").put(Fleets.member("n1", address.getPort()));
            Path fleetFile = c.write("fleet.json", fleet);
            Process supervisor = Fleets.up(c, fleetFile);
            Proxy.awaitHealthy(address, c.record, 30_000);
            TimeUnit.MILLISECONDS.sleep(3_000);
            long pid = Fleets.pid(c, "n1");
            if (c.trouble) {
                int next = Processes.freePort();
                fleet.put("members", new JSONArray().put(Fleets.member("n1", next)));
                c.write("fleet.json", fleet);
                c.record.line("the fleet's file now has n1 at 127.0.0.1:" + next);
            }
            c.processes.signal(supervisor.pid(), "HUP");
            String broken = serve(c, address, pid);
            for (String line : c.processes.log("supervisor").split("\n")) {
                c.record.line("supervisor's log: " + line);
            }
            return broken;
        }
    }

    /** Sends reads to the member where it listens, as proxies do that have connections to it. */
    private static String serve(Case c, InetSocketAddress address, long pid) throws Exception {
        List<Sent> sent = new ArrayList<>();
        Proxy proxy = null;
        long endNanos = System.nanoTime() + WATCH_MS * 1_000_000;
        for (int i = 0; System.nanoTime() < endNanos && Fleets.alive(pid); i++) {
            String body = "read " + i;
            try {
                if (proxy == null || proxy.ended()) {
                    proxy = new Proxy(address, c.record, true);
                }
                JSONObject params =
                        Proxy.params("main-site", LIMIT_MS, body.getBytes(StandardCharsets.UTF_8)).put("item", "i" + i);
                sent.add(new Sent(body, System.nanoTime(), proxy.send("recipe-page", params)));
            } catch (IOException e) {
                c.record.line(body + " could not be written: " + e.getMessage());
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
        c.record.line("process " + pid + " is " + (Fleets.alive(pid) ? "alive" : "gone"));
        int answered = 0;
        List<String> lost = new ArrayList<>();
        for (Sent one : sent) {
            long leftMs = LIMIT_MS + SLACK_MS - (System.nanoTime() - one.nanos) / 1_000_000;
            try {
                one.answer.get(Math.max(1, leftMs), TimeUnit.MILLISECONDS);
                answered++;
            } catch (ExecutionException | TimeoutException e) {
                lost.add(one.body);
                c.record.line(one.body + ", written before the process ended, got no answer: " + e.getCause());
            }
        }
        c.record.line("sent " + sent.size() + ", answered " + answered + ", lost " + lost.size());
        return lost.isEmpty() ? null : lost.size() + " requests that n1 had read were never answered: " + lost;
    }
}
