package review2;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.json.JSONArray;
import org.json.JSONObject;

/** A member that exits at every start is taken out of the fleet's file, which is read again at SIGHUP. */
final class RemovedWhileStarting {
    private RemovedWhileStarting() {}

    public static void main(String[] arguments) {
        Case.main(arguments, RemovedWhileStarting::run);
    }

    private static String run(Case c) throws Exception {
        Kernel.Work work = new Kernel.Work() {
            @Override
            public long millis(String kind, byte[] body) {
                return 300;
            }

            @Override
            public byte[] result(String kind, byte[] body) {
                return "result".getBytes(StandardCharsets.UTF_8);
            }
        };
        try (Kernel kernel = new Kernel(c.record, work, true);
                Announce announce = new Announce()) {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", Processes.freePort());
            c.write("n1.json", Case.config("n1", "127.0.0.1:0", kernel.address(), announce.address()));
            JSONObject faulty = Case.config("n2", "127.0.0.1:0", kernel.address(), announce.address());
            faulty.getJSONObject("settings").remove("Lanes"); // such a process exits with 78
            c.write("n2.json", faulty);
            JSONObject fleet = Fleets.file(c, null);
            JSONObject n1 = Fleets.member("n1", address.getPort());
            fleet.getJSONArray("members").put(n1).put(Fleets.member("n2", Processes.freePort()));
            Path fleetFile = c.write("fleet.json", fleet);
            Process supervisor = Fleets.up(c, fleetFile);
            Proxy.awaitHealthy(address, c.record, 30_000);
            if (c.trouble) {
                fleet.put("members", new JSONArray().put(n1));
                c.write("fleet.json", fleet);
                c.record.line("the fleet's file no longer has n2");
            }
            awaitStart(c);
            c.processes.signal(supervisor.pid(), "HUP");
            TimeUnit.MILLISECONDS.sleep(4_000);
            long pid = Fleets.pid(c, "n1");
            String broken = null;
            if (!supervisor.isAlive()) {
                broken = "the supervisor ended with code " + supervisor.exitValue();
            } else {
                c.processes.signal(pid, "KILL");
                TimeUnit.MILLISECONDS.sleep(500);
                Proxy.awaitHealthy(address, c.record, 20_000);
                Fleets.pid(c, "n1");
            }
            for (String line : c.processes.log("supervisor").split("\n")) {
                c.record.line("supervisor's log: " + line);
            }
            return broken;
        }
    }

    /** Waits until the supervisor's log tells of the next start of n2. */
    private static void awaitStart(Case c) throws Exception {
        int starts = starts(c);
        long endNanos = System.nanoTime() + 20_000_000_000L;
        while (starts(c) == starts) {
            if (System.nanoTime() > endNanos) {
                throw new CannotRunException("n2 was not started again");
            }
            TimeUnit.MILLISECONDS.sleep(10);
        }
        c.record.line("n2 is being started");
    }

    private static int starts(Case c) throws Exception {
        return c.processes.log("supervisor").split("instance_starting name=n2", -1).length;
    }
}
