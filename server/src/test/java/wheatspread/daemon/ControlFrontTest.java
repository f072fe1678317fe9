package wheatspread.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the operators' endpoint: readiness, metrics, malformed requests, silent clients and split requests. */
class ControlFrontTest {
    @Test
    @Timeout(30)
    void isReadyOnlyWhileServingAndCountsAnswersByClass() throws Exception {
        try (ServerFixture fixture = new ServerFixture();
                SimulatedProxy proxy = new SimulatedProxy(fixture)) {
            InetSocketAddress controlAddress = fixture.server.controlAddress();
            assertThat(request(controlAddress, "GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n"))
                    .startsWith("HTTP/1.1 503");
            SimulatedKernel kernel = new SimulatedKernel(fixture);
            Thread thread = new Thread(kernel, "simulated-kernel");
            thread.setDaemon(true);
            thread.start();
            assertThat(fixture.nextAnnounced()).endsWith("{\"accepting\":\"true\"}");
            assertThat(request(controlAddress, "GET /_ready HTTP/1.1\r\n\r\n")).startsWith("HTTP/1.1 200");

            proxy.sendRequest("stew", "north", 5000, null, "ok-1");
            proxy.sendRequest("stew", "south", 5000, null, "error-2");
            proxy.sendRequest("stew", "north", 900, null, "hang-3");
            fixture.clock().advance(900_000);
            Map<String, String> outcomes = Map.of("ok-1", "served 1-ko", "error-2", "failed", "hang-3", "out of time");
            assertThat(proxy.readJsonRpcOutcomes()).isEqualTo(outcomes);
            assertThat(proxy.readUwsgiOutcomes()).isEqualTo(outcomes);
            // both fronts together: 2 served, 4 failed, 6 runs
            String metrics = request(controlAddress, "GET /_vars HTTP/1.1\r\n\r\n");
            assertThat(metrics)
                    .startsWith("HTTP/1.1 200")
                    .contains(
                            "\nedge_gw.replies.stew.success=2\n",
                            "\nedge_gw.replies.stew.error=4\n",
                            "\nedge_gw.replies.stew.overload=0\n",
                            "\nedge_gw.replies.save.success=0\n",
                            "\nedge_gw.dispatches=6\n",
                            "\nedge_gw.concurrent=0\n",
                            "\nedge_gw.reload_success=0\n",
                            "\nedge_gw.reload_failure=0\n");

            fixture.reload("stop_ms", "not a number");
            assertThat(request(controlAddress, "GET /_vars HTTP/1.1\r\n\r\n"))
                    .contains("\nedge_gw.reload_failure=1\n", "\nedge_gw.reload_success=0\n");
        }
    }

    @Test
    @Timeout(30)
    void answersMalformedRequestsWhileOtherConnectionsAreSilent() throws Exception {
        try (ServerFixture fixture = new ServerFixture()) {
            InetSocketAddress controlAddress = fixture.server.controlAddress();
            List<Socket> silentConnections = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                silentConnections.add(new Socket(controlAddress.getAddress(), controlAddress.getPort()));
            }
            assertThat(request(controlAddress, "GET /elsewhere HTTP/1.1\r\n\r\n"))
                    .startsWith("HTTP/1.1 404");
            assertThat(request(controlAddress, "POST /_vars HTTP/1.1\r\nContent-Length: 0\r\n\r\n"))
                    .startsWith("HTTP/1.1 405");
            assertThat(request(controlAddress, "hello there\r\n\r\n")).startsWith("HTTP/1.1 400");
            assertThat(request(controlAddress, "GET /_vars HTTP/1.1\r\n" + "X: y\r\n".repeat(3000) + "\r\n"))
                    .startsWith("HTTP/1.1 431");
            try (Socket splitRequest = new Socket(controlAddress.getAddress(), controlAddress.getPort())) {
                OutputStream out = splitRequest.getOutputStream();
                for (byte b : "GET /_vars HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII)) {
                    out.write(b);
                    out.flush();
                }
                assertThat(read(splitRequest.getInputStream()))
                        .startsWith("HTTP/1.1 200")
                        .contains("edge_gw.dispatches=0");
            }
            for (Socket connection : silentConnections) {
                connection.close();
            }
        }
    }

    /** Sends one request on a new connection, and returns all bytes until the server closes the connection. */
    static String request(InetSocketAddress controlAddress, String request) throws IOException {
        try (Socket socket = new Socket(controlAddress.getAddress(), controlAddress.getPort())) {
            socket.setSoTimeout(5_000);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return read(socket.getInputStream());
        }
    }

    private static String read(InputStream in) throws IOException {
        return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
}
