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
import org.json.JSONObject;

/** The machine of a supervised fleet pauses for longer than checks.hung_ms, and goes on. */
final class PausedMachine {
    private static final int MEMBERS = 3;
    private static final long RUN_MS = 300;
    private static final long LIMIT_MS = 11_000;
    private static final long SLACK_MS = 60 + 50;
    /** The default of checks.hung_ms is 15,000. */
    private static final long PAUSE_MS = 18_000;

    private PausedMachine() {}

    public static void main(String[] arguments) {
        Case.main(arguments, PausedMachine::run);
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
        List<Kernel> kernels = new ArrayList<>();
        try (Announce announce = new Announce()) {
            JSONObject fleet = Fleets.file(c, null);
            List<InetSocketAddress> addresses = new ArrayList<>();
            for (int i = 0; i < MEMBERS; i++) {
                String name = "n" + (i + 1);
                kernels.add(new Kernel(c.record, work, true));
                addresses.add(new InetSocketAddress("127.0.0.1", Processes.freePort()));
                fleet.getJSONArray("members").put(Fleets.member(name, addresses.get(i).getPort()));
                c.write(
                        name + ".json",
                        Case.config(name, "127.0.0.1:0", kernels.get(i).address(), announce.address()));
            }
            Path fleetFile = c.write("fleet.json", fleet);
            Process supervisor = Fleets.up(c, fleetFile);
            List<Long> pids = new ArrayList<>();
            for (int i = 0; i < MEMBERS; i++) {
                Proxy.awaitHealthy(addresses.get(i), c.record, 30_000);
                pids.add(Fleets.pid(c, "n" + (i + 1)));
            }
            serve(c, addresses, 2_000);
            if (c.trouble) {
                pause(c, supervisor, pids);
            } else {
                TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
            }
            String broken = serve(c, addresses, 3_000);
            for (long pid : pids) {
                c.record.line("process " + pid + " is " + (Fleets.alive(pid) ? "alive" : "gone"));
            }
            for (String line : c.processes.log("supervisor").split("\n")) {
                c.record.line("supervisor's log: " + line);
            }
            return broken;
        } finally {
            for (Kernel kernel : kernels) {
                kernel.close();
            }
        }
    }

    /** Nothing is open, and nothing is written meanwhile. */
    private static void pause(Case c, Process supervisor, List<Long> pids) throws Exception {
        c.processes.signal(supervisor.pid(), "STOP");
        for (long pid : pids) {
            c.processes.signal(pid, "STOP");
        }
        TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
        for (long pid : pids) {
            c.processes.signal(pid, "CONT");
        }
        Kernel.daemon(() -> {
            try {
                TimeUnit.MILLISECONDS.sleep(200);
                c.processes.signal(supervisor.pid(), "CONT");
            } catch (IOException | InterruptedException e) {
                c.record.line("supervisor not continued: " + e);
            }
        }).start();
    }

    /** Sends reads to all members for a time, on new connections where a server ended one; returns what was lost. */
    private static String serve(Case c, List<InetSocketAddress> addresses, long millis) throws Exception {
        List<Sent> sent = new ArrayList<>();
        Proxy[] proxies = new Proxy[addresses.size()];
        long endNanos = System.nanoTime() + millis * 1_000_000;
        int unwritten = 0;
        for (int i = 0; System.nanoTime() < endNanos; i++) {
            int member = i % proxies.length;
            String body = "read " + i + " at n" + (member + 1);
            try {
                if (proxies[member] == null || proxies[member].ended()) {
                    proxies[member] = new Proxy(addresses.get(member), c.record, true);
                }
                JSONObject params =
                        Proxy.params("main-site", LIMIT_MS, body.getBytes(StandardCharsets.UTF_8)).put("item", "i" + i);
                sent.add(new Sent(body, System.nanoTime(), proxies[member].send("recipe-page", params)));
            } catch (IOException e) {
                unwritten++; // refused, or the connection had ended: nothing ran
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        int answered = 0;
        List<String> lost = new ArrayList<>();
        for (Sent one : sent) {
            long leftMs = LIMIT_MS + SLACK_MS - (System.nanoTime() - one.nanos) / 1_000_000;
            try {
                one.answer.get(Math.max(1, leftMs), TimeUnit.MILLISECONDS);
                answered++;
            } catch (ExecutionException | TimeoutException e) {
                lost.add(one.body);
                c.record.line(one.body + " got no answer: " + e.getCause());
            }
        }
        c.record.line("sent " + sent.size() + ", answered " + answered + ", lost " + lost.size() + ", could not be sent "
                + unwritten);
        return lost.isEmpty() ? null : lost.size() + " of " + sent.size() + " requests were never answered: " + lost;
    }
}
