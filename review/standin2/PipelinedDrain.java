package review2;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;

/** A uwsgi caller has several requests on one connection when the server is told to leave. */
final class PipelinedDrain {
    private static final int REQUESTS = 4;

    private PipelinedDrain() {}

    public static void main(String[] arguments) {
        Case.main(arguments, PipelinedDrain::run);
    }

    private static String run(Case c) throws Exception {
        Kernel.Work work = new Kernel.Work() {
            @Override
            public long millis(String kind, byte[] body) {
                return 300L + 200L * (body[body.length - 1] - '0');
            }

            @Override
            public byte[] result(String kind, byte[] body) {
                return ("saved " + Kernel.text(body)).getBytes(StandardCharsets.UTF_8);
            }
        };
        try (Kernel kernel = new Kernel(c.record, work, false);
                Announce announce = new Announce()) {
            InetSocketAddress platform = new InetSocketAddress("127.0.0.1", Processes.freePort());
            InetSocketAddress uwsgi = new InetSocketAddress("127.0.0.1", Processes.freePort());
            JSONObject config =
                    Case.config("n1", "127.0.0.1:" + platform.getPort(), kernel.address(), announce.address());
            JSONObject operator = new JSONObject(Files.readString(c.root.resolve("deploy/uwsgi.json")));
            operator.getJSONObject("uwsgi").put("listen", "127.0.0.1:" + uwsgi.getPort()).remove("routes");
            Path operatorFile = c.write("operator.json", operator);
            Process server = c.processes.server("server", c.write("config.json", config), operatorFile);
            Processes.awaitListening(platform, 30_000);
            Proxy.awaitHealthy(platform, c.record, 30_000);
            int answered = 0;
            try (Uwsgi caller = new Uwsgi(uwsgi, 8_000)) {
                for (int i = 0; i < REQUESTS; i++) {
                    String body = "plan " + i;
                    c.record.line("uwsgi > " + body);
                    caller.send(Map.of("RECIPE_CLASS", "save-plan", "RECIPE_UNIQUE", Proxy.hex(32)), body);
                }
                TimeUnit.MILLISECONDS.sleep(100);
                if (c.trouble) {
                    c.processes.signal(server.pid(), "TERM");
                }
                boolean last = false;
                for (int i = 0; i < REQUESTS && !last; i++) {
                    Uwsgi.Response response = caller.receive();
                    answered++;
                    last = response.lastOnConnection();
                    c.record.line("uwsgi < " + response.status() + ": " + response.body().strip()
                            + (last ? " (Connection: close)" : ""));
                }
            } catch (IOException e) {
                c.record.line("uwsgi: " + e.getMessage());
            }
            TimeUnit.MILLISECONDS.sleep(1_000);
            return answered < REQUESTS
                    ? REQUESTS - answered + " of " + REQUESTS + " requests on one connection got no response before the"
                            + " one that ends it"
                    : null;
        }
    }
}
