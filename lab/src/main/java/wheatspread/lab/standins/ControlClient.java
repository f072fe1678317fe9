package wheatspread.lab.standins;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.json.JSONException;
import org.json.JSONObject;

/** Sends HTTP requests to a server's control address. */
public final class ControlClient {
    private static final int TIMEOUT_MS = 1_000;

    private ControlClient() {}

    /**
     * Sends a request, given as method and path, and returns the body of the response. Returns null if the
     * connection fails or no data arrives within {@link #TIMEOUT_MS}.
     */
    public static String request(InetSocketAddress controlAddress, String methodAndPath) {
        try (Socket socket = new Socket()) {
            socket.connect(controlAddress, TIMEOUT_MS);
            socket.setSoTimeout(TIMEOUT_MS);
            OutputStream out = socket.getOutputStream();
            out.write((methodAndPath + " HTTP/1.1\r\nHost: lab\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            int bodyStart = response.indexOf("\r\n\r\n");
            return bodyStart < 0 ? null : response.substring(bodyStart + 4);
        } catch (IOException e) {
            return null;
        }
    }

    /** Returns whether the server answers {@code /_ready} with {@code ready}. */
    public static boolean isReady(InetSocketAddress controlAddress) {
        return "ready\n".equals(request(controlAddress, "GET /_ready"));
    }

    /** Returns the server's answer to {@code /_members}; null without an answer or if it is not valid JSON. */
    public static JSONObject members(InetSocketAddress controlAddress) {
        String body = request(controlAddress, "GET /_members");
        try {
            return body == null ? null : new JSONObject(body);
        } catch (JSONException e) {
            return null;
        }
    }
}
