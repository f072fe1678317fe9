package review2;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.json.JSONArray;
import org.json.JSONObject;

/** Two new configurations in a row: a class is dropped, and a keyed class of that name is added. */
final class ClassComesBack {
    private static final String CLASS = "share-plan";
    private static final long WINDOW_MS = 42_633;
    private static final long LIMIT_MS = 11_000;

    private ClassComesBack() {}

    public static void main(String[] arguments) {
        Case.main(arguments, ClassComesBack::run);
    }

    private static JSONObject lane(String effect) {
        JSONObject lane = new JSONObject()
                .put("Name", CLASS)
                .put("Aim", 4300.0)
                .put("Deadline", 14000.0)
                .put("Effect", effect)
                .put("Worth", 2.0);
        return effect.equals("deduplicated") ? lane.put("Window", (double) WINDOW_MS) : lane;
    }

    private static String run(Case c) throws Exception {
        Kernel.Work work = new Kernel.Work() {
            @Override
            public long millis(String kind, byte[] body) {
                return 400;
            }

            @Override
            public byte[] result(String kind, byte[] body) {
                return ("done: " + Kernel.text(body)).getBytes(StandardCharsets.UTF_8);
            }
        };
        try (Kernel kernel = new Kernel(c.record, work, false);
                Announce announce = new Announce()) {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", Processes.freePort());
            int control = Processes.freePort();
            JSONObject config = Case.config("n1", "127.0.0.1:" + address.getPort(), kernel.address(), announce.address())
                    .put("control", "127.0.0.1:" + control);
            JSONArray common = config.getJSONObject("settings").getJSONArray("Lanes");
            JSONArray first = new JSONArray(common).put(lane(c.trouble ? "idempotent" : "deduplicated"));
            JSONArray last = new JSONArray(common).put(lane("deduplicated"));
            Process server = c.processes.server("server", c.write("config.json", withLanes(config, first)), null);
            Processes.awaitListening(address, 30_000);
            Proxy.awaitHealthy(address, c.record, 30_000);
            TimeUnit.MILLISECONDS.sleep(1_500); // "never within its first second of service"
            reload(c, server, control, withLanes(config, c.trouble ? common : first), 1, "without " + CLASS);
            TimeUnit.MILLISECONDS.sleep(2_000);
            reload(c, server, control, withLanes(config, last), 2, "with " + CLASS + " as a keyed class");
            TimeUnit.MILLISECONDS.sleep(1_300); // "Proxies start to use a new class 1.2 s later"
            return tryTwice(c, kernel, address);
        }
    }

    private static JSONObject withLanes(JSONObject config, JSONArray lanes) {
        JSONObject copy = new JSONObject(config.toString());
        copy.getJSONObject("settings").put("Lanes", lanes);
        return copy;
    }

    private static void reload(Case c, Process server, int control, JSONObject config, int expected, String what)
            throws Exception {
        c.write("config.json", config);
        c.record.line("the configuration is now " + (c.trouble ? what : "the same again"));
        c.processes.signal(server.pid(), "HUP");
        String count = "edge_gw.reload_success=" + expected;
        for (int i = 0; i < 100; i++) {
            TimeUnit.MILLISECONDS.sleep(50);
            if (Vars.read(control).contains(count + "\n")) {
                c.record.line("the server says " + count);
                return;
            }
        }
        throw new CannotRunException("the server did not take the configuration");
    }

    private static String tryTwice(Case c, Kernel kernel, InetSocketAddress address) throws Exception {
        String body = "share the plan of one cook";
        String unique = Proxy.hex(32);
        for (int i = 0; i < 2; i++) {
            try (Proxy proxy = new Proxy(address, c.record, false)) {
                JSONObject params = Proxy.params("main-site", LIMIT_MS, body.getBytes(StandardCharsets.UTF_8))
                        .put("unique", unique);
                proxy.send(CLASS, params).get(LIMIT_MS + 110, TimeUnit.MILLISECONDS);
            }
            TimeUnit.MILLISECONDS.sleep(1_000);
        }
        int runs = kernel.runsOf(body);
        c.record.line("runs of unique " + unique + ": " + runs);
        if (runs == 0) {
            throw new CannotRunException("neither try ran");
        }
        return runs > 1 ? "two tries of one keyed request, " + WINDOW_MS + " ms window, ran " + runs + " times" : null;
    }
}
