package wheatspread.lab.standins;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.json.JSONException;
import org.json.JSONObject;

/** Asks a server's operators' door. */
public final class ControlClient {
    private static final int PATIENCE_MS = 1_000;

    private ControlClient() {}

    /** The body of the answer; null where there is none in time. */
    public static String request(InetSocketAddress door, String call) {
        try (Socket socket = new Socket()) {
            socket.connect(door, PATIENCE_MS);
            socket.setSoTimeout(PATIENCE_MS);
            OutputStream out = socket.getOutputStream();
            out.write((call + " HTTP/1.1\r\nHost: lab\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            int body = answer.indexOf("\r\n\r\n");
            return body < 0 ? null : answer.substring(body + 4);
        } catch (IOException e) {
            return null;
        }
    }

    public static boolean isReady(InetSocketAddress door) {
        return "ready\n".equals(request(door, "GET /_ready"));
    }

    /** What a server knows of the fleet; null where it says nothing. */
    public static JSONObject members(InetSocketAddress door) {
        String body = request(door, "GET /_members");
        try {
            return body == null ? null : new JSONObject(body);
        } catch (JSONException e) {
            return null;
        }
    }
}
