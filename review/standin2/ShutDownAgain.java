package review2;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;

/** A fleet is shut down, as a service manager does before the machine restarts, and started again. */
final class ShutDownAgain {
    private static final long LIMIT_MS = 11_000;

    private ShutDownAgain() {}

    public static void main(String[] arguments) {
        Case.main(arguments, ShutDownAgain::run);
    }

    private static String run(Case c) throws Exception {
        Kernel.Work work = new Kernel.Work() {
            @Override
            public long millis(String kind, byte[] body) {
                return 300;
            }

            @Override
            public byte[] result(String kind, byte[] body) {
                return ("result of " + Kernel.text(body)).getBytes(StandardCharsets.UTF_8);
            }
        };
        try (Kernel kernel = new Kernel(c.record, work, false);
                Announce announce = new Announce()) {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", Processes.freePort());
            c.write("n1.json", Case.config("n1", "127.0.0.1:0", kernel.address(), announce.address()));
            JSONObject fleet = Fleets.file(c, null);
            fleet.getJSONArray("members").put(Fleets.member("n1", address.getPort()));
            Path fleetFile = c.write("fleet.json", fleet);
            Process first = Fleets.up(c, fleetFile);
            Proxy.awaitHealthy(address, c.record, 30_000);
            read(c, address);
            Fleets.pid(c, "n1");
            if (c.trouble) {
                kernel.serverStarts();
                c.processes.signal(first.pid(), "TERM");
            } else {
                c.processes.start("detach", "exec java -jar server/target/wheatspread.jar fleet detach " + fleetFile, Map.of());
            }
            if (!first.waitFor(20, TimeUnit.SECONDS)) {
                throw new CannotRunException("the first supervisor did not end");
            }
            c.record.line("the first supervisor ended with code " + first.exitValue());
            Process second = Fleets.up(c, fleetFile);
            String broken = null;
            try {
                Proxy.awaitHealthy(address, c.record, 20_000);
                read(c, address);
                Fleets.pid(c, "n1");
            } catch (CannotRunException e) {
                broken = "no member serves 20 s after fleet up" + (second.isAlive() ? "" : ", which ended with code " + second.exitValue());
            }
            for (String line : c.processes.log("supervisor").split("\n")) {
                c.record.line("supervisor's log: " + line);
            }
            return broken;
        }
    }

    private static void read(Case c, InetSocketAddress address) throws Exception {
        try (Proxy proxy = new Proxy(address, c.record, false)) {
            proxy.send("recipe-page", Proxy.params("main-site", LIMIT_MS, "read".getBytes(StandardCharsets.UTF_8)).put("item", "x")).get(LIMIT_MS, TimeUnit.MILLISECONDS);
        }
    }
}
