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
    void aClassAddedAtReloadIsServedAndABadFileChangesNothing() throws Exception {
        try (Stage stage = new Stage();
                StandInProxy proxy = new StandInProxy(stage)) {
            begin(stage);
            stage.retune(settings -> settings.getJSONArray("Lanes")
                    .put(new JSONObject()
                            .put("Name", "soup")
                            .put("Deadline", 5000.0)
                            .put("Effect", "idempotent")));
            stage.awaitLogged("retuned");
            expect(proxy, "stew", "ok-1");

            stage.retune(
                    settings -> settings.getJSONArray("Lanes").getJSONObject(0).put("Deadline", 0));
            stage.awaitLogged("reload_refused");
            stage.retune(
                    settings -> settings.getJSONArray("Lanes").getJSONObject(0).remove("Deadline"));
            stage.awaitLogged("reload_refused");
            expect(proxy, "soup", "ok-2");
            expect(proxy, "stew", "ok-3");
        }
    }

    @Test
    @Timeout(30)
    void runsGoOnWhileTheKernelMovesTwice() throws Exception {
        try (Stage stage = new Stage();
                StandInProxy proxy = new StandInProxy(stage)) {
            StandInKernel kernel = begin(stage);
            expect(proxy, "stew", "ok-1");
            for (int move = 0; move < 2; move++) {
                stage.reload("", "");
                stage.awaitLogged("retuned");
                expect(proxy, "stew", "ok-after-" + move);
            }
            assertThat(kernel.runs).allMatch(body -> Collections.frequency(kernel.runs, body) == 2);
        }
    }

    private static StandInKernel begin(Stage stage) throws InterruptedException {
        StandInKernel kernel = new StandInKernel(stage);
        Thread thread = new Thread(kernel, "stand-in");
        thread.setDaemon(true);
        thread.start();
        assertThat(stage.nextAnnounced()).endsWith("{\"accepting\":\"true\"}");
        return kernel;
    }

    /** Both fronts are served. */
    private static void expect(StandInProxy proxy, String kind, String body) throws Exception {
        proxy.ask(kind, "north", 5000, null, body);
        Map<String, String> served = Map.of(body, "served " + new StringBuilder(body).reverse());
        assertThat(proxy.overJsonRpc()).isEqualTo(served);
        assertThat(proxy.overUwsgi()).isEqualTo(served);
        proxy.forget();
    }
}
