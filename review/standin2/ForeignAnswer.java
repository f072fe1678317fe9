package review2;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.json.JSONArray;
import org.json.JSONObject;

/** A supervised server with the uwsgi front exits while the kernel runs its work, and is restarted. */
final class ForeignAnswer {
    /** The work of a save-plan, at most 530 ms, on a machine that runs 9.7 times slower. */
    private static final long RUN_MS = 5_000;
    private static final int CALLERS = 4;
    private static final int ROUNDS = 3;

    private ForeignAnswer() {}

    public static void main(String[] arguments) {
        Case.main(arguments, ForeignAnswer::run);
    }

    private static String resultOf(String plan) {
        return "saved: " + plan;
    }

    private static String run(Case c) throws Exception {
        Kernel.Work work = new Kernel.Work() {
            @Override
            public long millis(String kind, byte[] body) {
                return RUN_MS;
            }

            @Override
            public byte[] result(String kind, byte[] body) {
                return resultOf(new String(body, StandardCharsets.UTF_8)).getBytes(StandardCharsets.UTF_8);
            }
        };
        ExecutorService callers = Executors.newCachedThreadPool(Kernel::daemon);
        try (Kernel kernel = new Kernel(c.record, work, false);
                Announce announce = new Announce()) {
            InetSocketAddress platform = new InetSocketAddress("127.0.0.1", Processes.freePort());
            InetSocketAddress uwsgi = new InetSocketAddress("127.0.0.1", Processes.freePort());
            Path fleet = writeFleet(c, kernel, announce, platform, uwsgi);
            Fleets.up(c, fleet);
            String broken = null;
            for (int round = 0; round < ROUNDS && broken == null; round++) {
                Proxy.awaitHealthy(platform, c.record, 30_000);
                broken = round(c, kernel, platform, uwsgi, callers, round);
            }
            return broken;
        }
    }

    private static Path writeFleet(
            Case c, Kernel kernel, Announce announce, InetSocketAddress platform, InetSocketAddress uwsgi)
            throws IOException {
        JSONObject member = Case.config("member", "127.0.0.1:0", kernel.address(), announce.address());
        member.remove("seed"); // as in deploy/fleet-member.json
        c.write("n1.json", member);
        JSONObject operator = new JSONObject(Files.readString(c.root.resolve("deploy/uwsgi.json")));
        JSONObject front = operator.getJSONObject("uwsgi").put("listen", "127.0.0.1:" + uwsgi.getPort());
        front.put(
                "routes",
                new JSONArray()
                        .put(new JSONObject()
                                .put("match", "exact")
                                .put("path", "/plans")
                                .put("class", "save-plan")
                                .put("cpu_ms", 410)));
        Path operatorFile = c.write("operator.json", operator);
        JSONObject fleet = Fleets.file(c, operatorFile);
        fleet.getJSONArray("members").put(Fleets.member("n1", platform.getPort()));
        return c.write("fleet.json", fleet);
    }

    /** Callers save plans; then the server exits and is restarted, and other callers save other plans. */
    private static String round(
            Case c,
            Kernel kernel,
            InetSocketAddress platform,
            InetSocketAddress uwsgi,
            ExecutorService callers,
            int round)
            throws Exception {
        List<Future<String>> first = save(c, callers, uwsgi, "round " + round + ", first group");
        TimeUnit.MILLISECONDS.sleep(500);
        if (c.trouble) {
            long pid = Fleets.pid(c, "n1");
            kernel.serverStarts();
            c.processes.signal(pid, "KILL");
            TimeUnit.MILLISECONDS.sleep(100);
            Proxy.awaitHealthy(platform, c.record, 30_000);
            Fleets.pid(c, "n1");
        }
        List<Future<String>> second = save(c, callers, uwsgi, "round " + round + ", second group");
        List<Future<String>> all = new ArrayList<>(first);
        all.addAll(second);
        String broken = null;
        for (Future<String> answer : all) {
            String fault = answer.get();
            broken = broken == null ? fault : broken;
        }
        return broken;
    }

    private static List<Future<String>> save(Case c, ExecutorService callers, InetSocketAddress uwsgi, String group)
            throws InterruptedException {
        List<Future<String>> answers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            String plan = group + ", plan of cook " + i;
            Callable<String> caller = () -> saveOne(c, uwsgi, plan);
            answers.add(callers.submit(caller));
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return answers;
    }

    /** Saves one plan; returns what is wrong with the answer, or null. */
    private static String saveOne(Case c, InetSocketAddress server, String plan) {
        try (Uwsgi caller = new Uwsgi(server, 16_000)) {
            c.record.line("uwsgi > " + plan);
            caller.send(Map.of("PATH_INFO", "/plans", "RECIPE_UNIQUE", Proxy.hex(32)), plan);
            Uwsgi.Response response = caller.receive();
            c.record.line("uwsgi < (to " + plan + ") " + response.status() + ": " + response.body().strip());
            return response.served() && !response.body().equals(resultOf(plan))
                    ? "the caller of \"" + plan + "\" was served \"" + response.body() + "\""
                    : null;
        } catch (IOException e) {
            c.record.line("uwsgi: no answer to " + plan + ": " + e.getMessage());
            return null; // the process was killed
        }
    }
}
