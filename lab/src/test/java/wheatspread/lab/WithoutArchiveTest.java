package wheatspread.lab;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.json.JSONArray;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import wheatspread.lab.rig.Ports;
import wheatspread.lab.standins.ServerProcess;
import wheatspread.lab.standins.StandInAddress;
import wheatspread.lab.standins.StandInServices;
import wheatspread.uwsgi.UwsgiEncoder;
import wheatspread.uwsgi.UwsgiPacket;

/** Tests a server under the deployed JVM flags that has no class data sharing archive and every optional part on. */
class WithoutArchiveTest {
    private static final Path JAR = Path.of("../server/target/wheatspread.jar");
    private static final Path DEPLOY = Path.of("../deploy/balancer.toml");
    private static final long WAIT_MS = 30_000;
    private static final int REQUESTS = 50;

    @TempDir
    private Path folder;

    private List<String> flagsWithoutArchive() throws IOException {
        return DeployFile.flags(DEPLOY).stream()
                .map(flag -> flag.startsWith("-XX:SharedArchiveFile=")
                        ? "-XX:SharedArchiveFile=" + folder.resolve("missing.jsa")
                        : flag)
                .toList();
    }

    private static JSONObject operatorFile(InetSocketAddress peers) {
        String address = StandInAddress.format(peers);
        return new JSONObject()
                .put("stats", true)
                .put(
                        "membership",
                        new JSONObject()
                                .put("cluster", "lab")
                                .put("listen", address)
                                .put("seeds", new JSONArray().put(address)))
                .put(
                        "uwsgi",
                        new JSONObject()
                                .put("listen", "127.0.0.1:0")
                                .put("health_path", "/health")
                                .put(
                                        "defaults",
                                        new JSONObject()
                                                .put("tenant", Sites.TENANTS.get(0))
                                                .put("class", Sites.KINDS.get(0).name())));
    }

    /** Guards against an event loop that dies in the drain, since its classes don't fit into the metaspace. */
    @Test
    @Timeout(120)
    void servesBothFrontsReloadsAndDrainsWithMembership() throws Exception {
        Ports ports = new Ports();
        try (StandInServices services = new StandInServices(1_000, 1_000);
                ServerProcess server = new ServerProcess(
                        JAR,
                        Sites.config(services, 512).put("control", StandInAddress.format(ports.next())),
                        operatorFile(ports.next()).toString(),
                        flagsWithoutArchive(),
                        -1)) {
            sendUwsgiRequests(server.port(0));
            sendJsonRpcRequests(server.port(1));
            await(server, () -> logContains(server, " view id="));
            new ProcessBuilder("kill", "-HUP", Long.toString(server.pid()))
                    .start()
                    .waitFor();
            await(server, () -> logContains(server, "reload kernel="));
            assertThat(server.terminate()).isTrue();
            assertThat(server.exitCode()).as(() -> server.log().toString()).isZero();
            assertThat(server.log()).noneMatch(line -> line.contains("Metaspace"));
        }
    }

    private static boolean logContains(ServerProcess server, String text) {
        return server.log().stream().anyMatch(line -> line.contains(text));
    }

    private static void await(ServerProcess server, BooleanSupplier condition) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS);
        while (!condition.getAsBoolean() && System.nanoTime() < deadlineNanos) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertThat(condition.getAsBoolean()).as(() -> server.log().toString()).isTrue();
    }

    private static void sendJsonRpcRequests(int port) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            for (int id = 1; id <= REQUESTS; id++) {
                Sites.Kind kind = Sites.KINDS.get(id % Sites.KINDS.size());
                String line = Sites.request(
                        id, kind, Sites.TENANTS.get(0), String.format("%016x", id), System.currentTimeMillis());
                socket.getOutputStream().write(line.getBytes(StandardCharsets.UTF_8));
                assertThat(in.readLine()).contains("\"id\":" + id);
            }
        }
    }

    private static void sendUwsgiRequests(int port) throws IOException {
        for (int i = 0; i < REQUESTS; i++) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                ByteBuf packet = Unpooled.buffer();
                Map<String, String> vars = Map.of("PATH_INFO", "/any", "RECIPE_UNIQUE", "u" + i, "RECIPE_ITEM", "i");
                UwsgiEncoder.write(new UwsgiPacket(UwsgiPacket.REQUEST_MODIFIER, 0, vars), packet);
                packet.readBytes(socket.getOutputStream(), packet.readableBytes());
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
                assertThat(in.readLine()).startsWith("HTTP/1.1 ");
            }
        }
    }
}
