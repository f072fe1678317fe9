package wheatspread.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collections;
import java.util.Map;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What SIGHUP brings: new classes, files that change nothing, and a kernel that moves with runs in hand. */
class ReloadTest {
    @Test
    @Timeout(30)
    void addedClassIsServedAndInvalidFilesChangeNothing() throws Exception {
        try (ServerFixture fixture = new ServerFixture();
                StandInProxy proxy = new StandInProxy(fixture)) {
            startKernel(fixture);
            fixture.retune(settings -> settings.getJSONArray("Lanes")
                    .put(new JSONObject()
                            .put("Name", "soup")
                            .put("Deadline", 5000.0)
                            .put("Effect", "idempotent")));
            fixture.awaitLogged("classes_reloaded");
            assertServedOverBothProtocols(proxy, "stew", "ok-1");

            fixture.retune(
                    settings -> settings.getJSONArray("Lanes").getJSONObject(0).put("Deadline", 0));
            fixture.awaitLogged("reload_rejected");
            fixture.retune(
                    settings -> settings.getJSONArray("Lanes").getJSONObject(0).remove("Deadline"));
            fixture.awaitLogged("reload_rejected");
            assertServedOverBothProtocols(proxy, "soup", "ok-2");
            assertServedOverBothProtocols(proxy, "stew", "ok-3");
        }
    }

    @Test
    @Timeout(30)
    void runsContinueWhileTheKernelMovesTwice() throws Exception {
        try (ServerFixture fixture = new ServerFixture();
                StandInProxy proxy = new StandInProxy(fixture)) {
            StandInKernel kernel = startKernel(fixture);
            assertServedOverBothProtocols(proxy, "stew", "ok-1");
            for (int move = 0; move < 2; move++) {
                fixture.reload("", "");
                fixture.awaitLogged("classes_reloaded");
                assertServedOverBothProtocols(proxy, "stew", "ok-after-" + move);
            }
            assertThat(kernel.runs).allMatch(body -> Collections.frequency(kernel.runs, body) == 2);
        }
    }

    private static StandInKernel startKernel(ServerFixture fixture) throws InterruptedException {
        StandInKernel kernel = new StandInKernel(fixture);
        Thread thread = new Thread(kernel, "stand-in");
        thread.setDaemon(true);
        thread.start();
        assertThat(fixture.nextAnnounced()).endsWith("{\"accepting\":\"true\"}");
        return kernel;
    }

    /** Both fronts are served. */
    private static void assertServedOverBothProtocols(StandInProxy proxy, String kind, String body) throws Exception {
        proxy.ask(kind, "north", 5000, null, body);
        Map<String, String> served = Map.of(body, "served " + new StringBuilder(body).reverse());
        assertThat(proxy.overJsonRpc()).isEqualTo(served);
        assertThat(proxy.overUwsgi()).isEqualTo(served);
        proxy.forget();
    }
}
