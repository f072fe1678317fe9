package wheatspread.lab.clients;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a server whose heap is exhausted, or that goes over its memory limit, by hundreds of clients that stop
 * within a large request, write slowly, or send very many short fields.
 */
class IncompleteRequestsTest {
    private static final int UWSGI_MAX_VARS_BYTES = 16_384;
    private static final int UWSGI_MAX_BODY_BYTES = 2_048;
    /** The bytes of a var with a name of one character, without its value. */
    private static final int ONE_VAR_OVERHEAD_BYTES = 5;

    private static final int LINE_BYTES = 16_000;
    private static final int HEAD_BYTES = 8_000;
    private static final int FRAME_BYTES = 2 << 20;
    /** Fewer than the 256 uwsgi connections of the example operator file, so that none is evicted. */
    private static final int UWSGI_CLIENTS = 250;

    private static final int OTHER_CLIENTS = 600;
    private static final int WHOLE = Integer.MAX_VALUE;
    private static final int SLOW_BYTES = 100;
    private static final int ROUNDS = 40;
    private static final long ROUND_MS = 100;

    /** What the clients write, and how much of it every 100 ms. */
    enum IncompleteRequest {
        UWSGI_STOPPED(DeployedServer.UWSGI, UWSGI_CLIENTS, WHOLE, halfUwsgiPacket()),
        UWSGI_SLOW(DeployedServer.UWSGI, UWSGI_CLIENTS, SLOW_BYTES, halfUwsgiPacket()),
        UWSGI_SHORT_VARS(
                DeployedServer.UWSGI,
                UWSGI_CLIENTS,
                WHOLE,
                HostileBytes.uwsgiRequestOfShortVars(UWSGI_MAX_VARS_BYTES, UWSGI_MAX_BODY_BYTES)),
        JSON_RPC_STOPPED(DeployedServer.JSON_RPC, OTHER_CLIENTS, WHOLE, HostileBytes.ascii("x".repeat(LINE_BYTES))),
        JSON_RPC_SLOW(DeployedServer.JSON_RPC, OTHER_CLIENTS, SLOW_BYTES, HostileBytes.ascii("x".repeat(LINE_BYTES))),
        JSON_RPC_SHORT_MEMBERS(
                DeployedServer.JSON_RPC, OTHER_CLIENTS, WHOLE, HostileBytes.unfinishedJsonOfShortMembers(LINE_BYTES)),
        CONTROL_STOPPED(
                DeployedServer.CONTROL,
                OTHER_CLIENTS,
                WHOLE,
                HostileBytes.ascii("GET / HTTP/1.1\r\nx: " + "y".repeat(HEAD_BYTES))),
        CONTROL_SHORT_FIELDS(
                DeployedServer.CONTROL,
                OTHER_CLIENTS,
                WHOLE,
                HostileBytes.ascii("GET / HTTP/1.1\r\n" + "x:\r\n".repeat(HEAD_BYTES / 4))),
        MEMBERSHIP_STOPPED(DeployedServer.MEMBERSHIP, OTHER_CLIENTS, WHOLE, halfFrame()),
        MEMBERSHIP_SLOW(DeployedServer.MEMBERSHIP, OTHER_CLIENTS, SLOW_BYTES, halfFrame());

        private final int port;
        private final int clients;
        private final int bytesPerRound;
        private final byte[] bytes;

        IncompleteRequest(int port, int clients, int bytesPerRound, byte[] bytes) {
            this.port = port;
            this.clients = clients;
            this.bytesPerRound = bytesPerRound;
            this.bytes = bytes;
        }

        private static byte[] halfUwsgiPacket() {
            String value = "y".repeat(UWSGI_MAX_VARS_BYTES - ONE_VAR_OVERHEAD_BYTES);
            byte[] packet = HostileBytes.uwsgiPacket(Map.of("x", value));
            return Arrays.copyOf(packet, packet.length - 1);
        }

        /** Returns the largest message of a stream between members, with its size in front, without the last byte. */
        private static byte[] halfFrame() {
            return ByteBuffer.allocate(Integer.BYTES + FRAME_BYTES - 1)
                    .putInt(FRAME_BYTES)
                    .array();
        }
    }

    @ParameterizedTest
    @EnumSource
    @Timeout(120)
    void otherClientsAreAnsweredWithinTheMemoryLimit(IncompleteRequest request) throws Exception {
        try (DeployedServer server = new DeployedServer();
                Probe uwsgi = new Probe(server.address(DeployedServer.UWSGI), true);
                Probe jsonRpc = new Probe(server.address(DeployedServer.JSON_RPC), false)) {
            InetSocketAddress address = server.address(request.port);
            try (ConcurrentClients clients = new ConcurrentClients(address, request.clients, request.bytes)) {
                for (int round = 0; round < ROUNDS; round++) {
                    clients.write(request.bytesPerRound);
                    TimeUnit.MILLISECONDS.sleep(ROUND_MS);
                }
            }
            assertThat(server.peakResidentMb()).isLessThan(DeployedServer.MEMORY_LIMIT_MB);
            assertThat(server.log()).noneMatch(line -> line.contains("OutOfMemoryError"));
            assertAnswered(uwsgi);
            assertAnswered(jsonRpc);
            assertThat(server.terminate()).isTrue();
        }
    }

    private static void assertAnswered(Probe probe) {
        assertThat(probe.failure()).isNull();
        assertThat(probe.openRequestMillis()).isLessThan(Probe.LATENCY_OBJECTIVE_MS);
        List<Double> latenciesMillis = probe.takeLatencies();
        assertThat(latenciesMillis).isNotEmpty();
        assertThat(Collections.max(latenciesMillis)).isLessThan(Probe.LATENCY_OBJECTIVE_MS);
    }
}
