package wheatspread.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collections;
import java.util.Map;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests SIGHUP: added request classes, rejected files, and a kernel whose address changes during runs. */
class ReloadTest {
    @Test
    @Timeout(30)
    void servesAddedClassAndRejectsInvalidFiles() throws Exception {
        try (ServerFixture fixture = new ServerFixture();
                SimulatedProxy proxy = new SimulatedProxy(fixture)) {
            startKernel(fixture);
            fixture.reloadSettings(settings -> settings.getJSONArray("Lanes")
                    .put(new JSONObject()
                            .put("Name", "soup")
                            .put("Deadline", 5000.0)
                            .put("Effect", "idempotent")));
            fixture.awaitLogged("classes_reloaded");
            assertServedOverBothProtocols(proxy, "stew", "ok-1");

            fixture.reloadSettings(
                    settings -> settings.getJSONArray("Lanes").getJSONObject(0).put("Deadline", 0));
            fixture.awaitLogged("reload_rejected");
            fixture.reloadSettings(
                    settings -> settings.getJSONArray("Lanes").getJSONObject(0).remove("Deadline"));
            fixture.awaitLogged("reload_rejected");
            assertServedOverBothProtocols(proxy, "soup", "ok-2");
            assertServedOverBothProtocols(proxy, "stew", "ok-3");
        }
    }

    @Test
    @Timeout(30)
    void runsContinueWhenKernelAddressChangesTwice() throws Exception {
        try (ServerFixture fixture = new ServerFixture();
                SimulatedProxy proxy = new SimulatedProxy(fixture)) {
            SimulatedKernel kernel = startKernel(fixture);
            assertServedOverBothProtocols(proxy, "stew", "ok-1");
            for (int changes = 0; changes < 2; changes++) {
                fixture.reload("", "");
                fixture.awaitLogged("classes_reloaded");
                assertServedOverBothProtocols(proxy, "stew", "ok-after-" + changes);
            }
            assertThat(kernel.runs).allMatch(body -> Collections.frequency(kernel.runs, body) == 2);
        }
    }

    private static SimulatedKernel startKernel(ServerFixture fixture) throws InterruptedException {
        SimulatedKernel kernel = new SimulatedKernel(fixture);
        Thread thread = new Thread(kernel, "simulated-kernel");
        thread.setDaemon(true);
        thread.start();
        assertThat(fixture.nextAnnounced()).endsWith("{\"accepting\":\"true\"}");
        return kernel;
    }

    /** Sends a request over both protocols and asserts that both are served. */
    private static void assertServedOverBothProtocols(SimulatedProxy proxy, String requestClass, String body)
            throws Exception {
        proxy.sendRequest(requestClass, "north", 5000, null, body);
        Map<String, String> served = Map.of(body, "served " + new StringBuilder(body).reverse());
        assertThat(proxy.readJsonRpcOutcomes()).isEqualTo(served);
        assertThat(proxy.readUwsgiOutcomes()).isEqualTo(served);
        proxy.clearRequests();
    }
}
