package wheatspread.lab;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.BufferedReader;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.json.JSONObject;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wheatspread.lab.standins.ServerProcess;
import wheatspread.lab.standins.StandInServices;
import wheatspread.uwsgi.UwsgiEncoder;
import wheatspread.uwsgi.UwsgiPacket;

/** A first run for a newcomer. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description = "Starts one server with both fronts and stand-ins round it, on free ports, and asks it "
                + "a few requests; Ctrl-C ends it.")
final class DemoCommand implements Callable<Integer> {
    @Option(names = "--jar", defaultValue = "server/target/wheatspread.jar", description = "The server.")
    private Path jar;

    @Option(
            names = "--site",
            defaultValue = "calls",
            description = "The kind of deployment: ${COMPLETION-"
                    + "CANDIDATES}; 'plain' makes no calls, and its callers tell no limit (${DEFAULT-VALUE}).")
    private Kind site;

    @Option(names = "--once", description = "Ends by itself after the requests.")
    private boolean once;

    /** What the server is told of its deployment. */
    private enum Kind {
        calls,
        plain
    }

    @Override
    public Integer call() throws Exception {
        String operator = """
            {"uwsgi": {"listen": "127.0.0.1:0", "defaults": {"tenant": "main-site", "cpu_ms": 280},
              "routes": [{"match": "prefix", "path": "/recipes/", "class": "recipe-page"},
                         {"match": "exact", "path": "/plans", "class": "save-plan"}]}}
            """;
        CountDownLatch ended = new CountDownLatch(1);
        try (StandInServices parties = new StandInServices(15_000, site == Kind.plain ? -1 : 5_000);
                ServerProcess server = new ServerProcess(
                        jar,
                        config(parties),
                        operator,
                        List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx48m"),
                        -1)) {
            int uwsgi = server.port(0);
            int rpc = server.port(1);
            System.out.println("One server runs, with a kernel, records and announce service played for it.\n"
                    + "JSON-RPC on 127.0.0.1:" + rpc + ", uwsgi on 127.0.0.1:" + uwsgi + "\n");
            askByRpc(rpc);
            askByUwsgi(uwsgi, Map.of("PATH_INFO", "/recipes/leche-flan"), "");
            askByUwsgi(uwsgi, Map.of("PATH_INFO", "/plans", "RECIPE_UNIQUE", "demo-2"), "a plan");
            System.out.println("\nAsk it yourself:\n  (echo '{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":"
                    + "\"search\","
                    + "\"params\":{\"txn\":\"'$(openssl rand -hex 8)'\",\"door\":'$(date +%s%3N)',"
                    + "\"lb\":1,\"team\":\"main-site\",\"limit\":5000,\"cpu\":280,\"ram\":24.5,"
                    + "\"standing\":0.5,\"item\":\"flan\",\"blob\":\"\"}}'; sleep 1) | nc 127.0.0.1 " + rpc);
            if (!once) {
                System.out.println("\nCtrl-C ends it.");
                Runtime.getRuntime().addShutdownHook(new Thread(() -> end(server, ended)));
                ended.await();
            } else if (!server.terminate()) {
                System.out.println("the server did not leave by itself");
                return 1;
            }
        }
        return 0;
    }

    private JSONObject config(StandInServices parties) {
        JSONObject config = Sites.config(parties, 512);
        return site == Kind.plain ? Sites.withoutCalls(config) : config;
    }

    /** A request as the site's proxies write it. */
    private String told(String line) {
        return site == Kind.plain ? line.replaceAll("\"limit\":\\d+", "\"second\":1") : line;
    }

    private static void end(ServerProcess server, CountDownLatch ended) {
        try {
            System.out.println("\nThe server has its notice, and answers what it has read.");
            System.out.println(server.terminate() ? "It left in order." : "It did not leave by itself.");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        ended.countDown();
    }

    private void askByRpc(int port) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(10_000);
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            for (String line : List.of(
                    "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}\n",
                    Sites.request(2, Sites.KINDS.get(0), "main-site", "00000000000000d1", System.currentTimeMillis()),
                    Sites.request(3, Sites.KINDS.get(3), "main-site", "00000000000000d2", System.currentTimeMillis()),
                    Sites.request(4, Sites.KINDS.get(3), "main-site", "00000000000000d3", System.currentTimeMillis())
                            .replace("u00000000000000d3", "u00000000000000d2"))) {
                String asked = told(line);
                socket.getOutputStream().write(asked.getBytes(StandardCharsets.UTF_8));
                System.out.print("> " + asked);
                System.out.println("< " + in.readLine());
            }
            System.out.println("(the second save-plan repeats the first: it got its result)\n");
        }
    }

    private static void askByUwsgi(int port, Map<String, String> told, String body) throws IOException {
        Map<String, String> vars = new LinkedHashMap<>(told);
        vars.put("CONTENT_LENGTH", Integer.toString(body.length()));
        ByteBuf packet = Unpooled.buffer();
        UwsgiEncoder.write(new UwsgiPacket(UwsgiPacket.REQUEST_MODIFIER, 0, vars), packet);
        packet.writeBytes(body.getBytes(StandardCharsets.UTF_8));
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(ByteBufUtil.getBytes(packet));
            System.out.println("uwsgi> " + vars);
            byte[] answer = new byte[4_096];
            int read = new DataInputStream(socket.getInputStream()).read(answer);
            System.out.println(
                    "uwsgi< " + new String(answer, 0, Math.max(0, read), StandardCharsets.UTF_8).split("\r\n")[0]);
        }
    }
}
