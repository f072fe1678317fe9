package wheatspread.lab.clients;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wheatspread.lab.Sites;

/** Guards against runs for the requests of a client that has closed its connection before the server read them. */
class LeavingClientTest {
    private static final int REQUESTS = 500;
    /** The requests that may be open on a connection, which the server may have read before it learns of the close. */
    private static final int MAX_OPEN_REQUESTS = 32;

    private static final int CLIENTS = 3;
    private static final long QUIET_MS = 1_000;

    @ParameterizedTest
    @CsvSource({"0,false", "0,true", "1,false", "1,true"})
    @Timeout(120)
    void unreadRequestsOfAClosedConnectionAreNotRun(int front, boolean reset) throws Exception {
        try (DeployedServer server = new DeployedServer()) {
            for (int client = 1; client <= CLIENTS; client++) {
                long runsBefore = server.services().runs();
                writeAndClose(server.address(front), requests(front, client), reset);
                TimeUnit.MILLISECONDS.sleep(QUIET_MS);
                assertThat(server.services().runs() - runsBefore).isLessThanOrEqualTo(MAX_OPEN_REQUESTS);
            }
        }
    }

    private static byte[] requests(int front, int client) {
        ByteArrayOutputStream requests = new ByteArrayOutputStream();
        for (int id = 1; id <= REQUESTS; id++) {
            String attempt = String.format("%08x%08x", client, id);
            String line =
                    Sites.request(id, Sites.KINDS.get(1), Sites.TENANTS.get(0), attempt, System.currentTimeMillis());
            requests.writeBytes(
                    front == DeployedServer.UWSGI
                            ? HostileBytes.uwsgiRequest("/search" + attempt)
                            : line.getBytes(StandardCharsets.US_ASCII));
        }
        return requests.toByteArray();
    }

    private static void writeAndClose(InetSocketAddress address, byte[] requests, boolean reset) throws IOException {
        try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            if (reset) {
                client.setSoLinger(true, 0);
            }
            client.getOutputStream().write(requests);
        }
    }
}
