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

/** Demonstrates a server with both fronts. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description = "Starts a server with both fronts and stand-ins for its services on free ports, and sends it "
                + "a few requests; Ctrl-C ends it.")
final class DemoCommand implements Callable<Integer> {
    @Option(names = "--jar", defaultValue = "server/target/wheatspread.jar", description = "Jar of the server.")
    private Path jar;

    @Option(
            names = "--site",
            defaultValue = "calls",
            description = "Kind of deployment: ${COMPLETION-"
                    + "CANDIDATES}; 'plain' makes no calls, and its clients send no deadline (${DEFAULT-VALUE}).")
    private Kind site;

    @Option(names = "--once", description = "Ends after the requests.")
    private boolean once;

    /** The kind of deployment. */
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
        try (StandInServices standIns = new StandInServices(15_000, site == Kind.plain ? -1 : 5_000);
                ServerProcess server = new ServerProcess(
                        jar,
                        config(standIns),
                        operator,
                        List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx48m"),
                        -1)) {
            int uwsgi = server.port(0);
            int rpc = server.port(1);
            System.out.println("A server runs with stand-ins for its kernel, records service and announce service.\n"
                    + "JSON-RPC on 127.0.0.1:" + rpc + ", uwsgi on 127.0.0.1:" + uwsgi + "\n");
            sendJsonRpcRequests(rpc);
            sendUwsgiRequest(uwsgi, Map.of("PATH_INFO", "/recipes/leche-flan"), "");
            sendUwsgiRequest(uwsgi, Map.of("PATH_INFO", "/plans", "RECIPE_UNIQUE", "demo-2"), "a plan");
            System.out.println("\nTo send a request:\n  (echo '{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":"
                    + "\"search\","
                    + "\"params\":{\"txn\":\"'$(openssl rand -hex 8)'\",\"door\":'$(date +%s%3N)',"
                    + "\"lb\":1,\"team\":\"main-site\",\"limit\":5000,\"cpu\":280,\"ram\":24.5,"
                    + "\"standing\":0.5,\"item\":\"flan\",\"blob\":\"\"}}'; sleep 1) | nc 127.0.0.1 " + rpc);
            if (!once) {
                System.out.println("\nCtrl-C ends it.");
                Runtime.getRuntime().addShutdownHook(new Thread(() -> terminate(server, ended)));
                ended.await();
            } else if (!server.terminate()) {
                System.out.println("server did not exit after SIGTERM");
                return 1;
            }
        }
        return 0;
    }

    private JSONObject config(StandInServices standIns) {
        JSONObject config = Sites.config(standIns, 512);
        return site == Kind.plain ? Sites.withoutCalls(config) : config;
    }

    /** Converts a request to the form that the clients of the chosen deployment send. */
    private String convert(String line) {
        return site == Kind.plain ? line.replaceAll("\"limit\":\\d+", "\"second\":1") : line;
    }

    private static void terminate(ServerProcess server, CountDownLatch ended) {
        try {
            System.out.println("\nThe server was sent SIGTERM and answers the requests that it has read.");
            System.out.println(
                    server.terminate() ? "The server has exited." : "The server did not exit after SIGTERM.");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        ended.countDown();
    }

    private void sendJsonRpcRequests(int port) throws IOException {
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
                String request = convert(line);
                socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
                System.out.print("> " + request);
                System.out.println("< " + in.readLine());
            }
            System.out.println("(the second save-plan repeats the first and gets the same result)\n");
        }
    }

    private static void sendUwsgiRequest(int port, Map<String, String> requestVars, String body) throws IOException {
        Map<String, String> vars = new LinkedHashMap<>(requestVars);
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
