package wheatspread.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.json.JSONArray;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Retuning at SIGHUP: classes are added, a bad file changes nothing, and each file is counted. */
class RetuneTest {
    @Test
    @Timeout(30)
    void aClassAddedAtReloadIsServedAndABadFileChangesNothing() throws Exception {
        try (Stage stage = new Stage(); StandInProxy proxy = new StandInProxy(stage)) {
            Thread thread = new Thread(new StandInKernel(stage), "stand-in");
            thread.setDaemon(true);
            thread.start();
            assertThat(stage.nextAnnounced()).endsWith("{\"accepting\":\"true\"}");

            reload(stage, lanes -> lanes.put(new JSONObject().put("Name", "soup").put("Deadline", 5000.0)
                .put("Effect", "idempotent")), "retuned");
            proxy.ask("stew", "north", 5000, null, "ok-1");
            Map<String, String> served = Map.of("ok-1", "served 1-ko");
            Thread.sleep(1500);
            java.nio.file.Files.write(java.nio.file.Path.of("/tmp/wk/rlog.txt"), stage.logged);
            assertThat(proxy.overJsonRpc()).isEqualTo(served);
            assertThat(proxy.overUwsgi()).isEqualTo(served);

            reload(stage, lanes -> lanes.getJSONObject(0).put("Deadline", 0), "reload_refused");
            reload(stage, lanes -> lanes.getJSONObject(0).remove("Deadline"), "reload_refused");
            proxy.ask("soup", "south", 5000, null, "ok-2");
            proxy.ask("stew", "south", 5000, null, "ok-3");
            Map<String, String> both = Map.of("ok-2", "served 2-ko", "ok-3", "served 3-ko");
            assertThat(proxy.overJsonRpc()).isEqualTo(both);
            assertThat(proxy.overUwsgi()).isEqualTo(both);
            assertThat(vars(stage.server.doorAddress())).contains("\nedge_gw.replies.soup.success=4\n",
                "\nedge_gw.replies.stew.success=2\n", "\nedge_gw.reload_success=1\n",
                "\nedge_gw.reload_failure=2\n");
        }
    }

    /** A reload whose lanes are changed so, once its log line has come. */
    private static void reload(Stage stage, Consumer<JSONArray> change, String expected) throws Exception {
        stage.reloadSettings(settings -> change.accept(settings.getJSONArray("Lanes")));
        for (String line = stage.logged.poll(10, TimeUnit.SECONDS); line != null;
             line = stage.logged.poll(10, TimeUnit.SECONDS)) {
            if (line.contains(expected)) {
                return;
            }
        }
        throw new AssertionError("no log line with " + expected);
    }

    private static String vars(InetSocketAddress door) throws IOException {
        try (Socket socket = new Socket(door.getAddress(), door.getPort())) {
            socket.getOutputStream().write("GET /_vars HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
