package review2;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.json.JSONObject;

/** A popular subject is read again after the time for which a read's answer may be used for others. */
final class StaleRead {
    private static final long FRESH_MS = 1_000;
    private static final long LIMIT_MS = 11_000;
    /** "The four rules apply, but every time limit is 50 ms longer." */
    private static final long SLACK_MS = 50;

    private StaleRead() {}

    public static void main(String[] arguments) {
        Case.main(arguments, StaleRead::run);
    }

    private static String run(Case c) throws Exception {
        AtomicInteger version = new AtomicInteger(1);
        Kernel.Work work = new Kernel.Work() {
            @Override
            public long millis(String kind, byte[] body) {
                return 200;
            }

            @Override
            public byte[] result(String kind, byte[] body) {
                return ("leche flan, version " + version.get()).getBytes(StandardCharsets.UTF_8);
            }
        };
        try (Kernel kernel = new Kernel(c.record, work, false);
                Announce announce = new Announce()) {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", Processes.freePort());
            JSONObject config =
                    Case.config("n1", "127.0.0.1:" + address.getPort(), kernel.address(), announce.address());
            config.getJSONObject("settings").getJSONObject("FamilyInfo").put("Fresh", (double) FRESH_MS);
            c.processes.server("server", c.write("config.json", config), null);
            Processes.awaitListening(address, 30_000);
            Proxy.awaitHealthy(address, c.record, 30_000);
            String broken = null;
            for (int round = 0; round < 3 && broken == null; round++) {
                broken = readTwice(c, kernel, address, version, "flan-" + round);
            }
            return broken;
        }
    }

    private static String readTwice(Case c, Kernel kernel, InetSocketAddress server, AtomicInteger version, String item)
            throws Exception {
        String first = read(c, server, item);
        long firstNanos = System.nanoTime(); // the run of the first read ended before this
        if (first == null) {
            throw new CannotRunException("the first read of " + item + " was not served");
        }
        version.incrementAndGet();
        c.record.line("the recipe was edited: version " + version.get());
        TimeUnit.MILLISECONDS.sleep(c.trouble ? 3_000 : 200);
        int runs = kernel.runs();
        long ageMs = (System.nanoTime() - firstNanos) / 1_000_000;
        String second = read(c, server, item);
        c.record.line("read " + item + " again " + ageMs + " ms after the first answer: " + second + "; runs for it: "
                + (kernel.runs() - runs));
        boolean reused = second != null && second.equals(first);
        return reused && ageMs > FRESH_MS + SLACK_MS
                ? "a read got the answer of a run that had ended over " + ageMs + " ms before it was written; Fresh is "
                        + FRESH_MS + " ms"
                : null;
    }

    private static String read(Case c, InetSocketAddress server, String item) throws Exception {
        byte[] body = ("read " + item).getBytes(StandardCharsets.UTF_8);
        JSONObject params = Proxy.params("main-site", LIMIT_MS, body).put("item", item);
        try (Proxy proxy = new Proxy(server, c.record, false)) {
            return Proxy.served(proxy.send("recipe-page", params).get(LIMIT_MS + 1_000, TimeUnit.MILLISECONDS));
        }
    }
}
