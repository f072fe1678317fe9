package wheatspread.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.json.JSONException;
import org.json.JSONObject;
import wheatspread.core.Site;

/** What a real server is told: addresses, limits, the seed, and the settings of its site. */
public record ServerConfig(String name, InetSocketAddress listen, InetSocketAddress kernel,
                           InetSocketAddress records, InetSocketAddress announce, long seed, long stopMicros,
                           int sockets, Site site) {
    private static final int DEFAULT_STOP_MS = 3_000;
    private static final int DEFAULT_SOCKETS = 1_024;

    /** Reads the file that {@code GW_CONFIG} names; {@code GW_NAME} and {@code GW_LISTEN} go over it. */
    public static ServerConfig fromEnvironment(Map<String, String> environment) {
        String file = environment.get("GW_CONFIG");
        if (file == null) {
            throw new Fields.BadValue("GW_CONFIG is missing from the environment");
        }
        JSONObject json = readFile(Path.of(file));
        for (var key : Map.of("name", "GW_NAME", "listen", "GW_LISTEN").entrySet()) {
            if (environment.get(key.getValue()) != null) {
                json.put(key.getKey(), environment.get(key.getValue()));
            }
        }
        return read(Fields.of(json.toMap(), ""));
    }

    /** This configuration with the addresses at which another one reaches the parties round the server. */
    public ServerConfig withAddressesOf(ServerConfig other) {
        return new ServerConfig(name, listen, other.kernel, other.records, other.announce, seed, stopMicros,
            sockets, site);
    }

    static JSONObject readFile(Path file) {
        try {
            return new JSONObject(Files.readString(file, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new Fields.BadValue(file + " cannot be read: " + e.getMessage());
        } catch (JSONException e) {
            throw new Fields.BadValue(file + " is not a JSON object: " + e.getMessage());
        }
    }

    public static ServerConfig read(Fields told) {
        Fields limits = told.object("limits", true);
        return new ServerConfig(told.text("name"), address(told, "listen"), address(told, "kernel"),
            address(told, "records"), address(told, "announce"), seed(told),
            told.integer("stop_ms", DEFAULT_STOP_MS, 100, 600_000) * 1000L,
            limits.integer("sockets", DEFAULT_SOCKETS, 64, 1 << 20), site(told.object("settings", false)));
    }

    private static Site site(Fields settings) {
        return new Site(SettingsReader.read(settings), SettingsReader.names(settings, "Lanes"),
            SettingsReader.names(settings, "Parties"), SettingsReader.gauges(settings));
    }

    private static long seed(Fields told) {
        try {
            return told.has("seed") ? Long.parseUnsignedLong(told.text("seed"), 16) : 0;
        } catch (NumberFormatException e) {
            throw told.bad("seed", "is not up to 16 hex digits");
        }
    }

    /** An address as host and port; the host stands as a number, since there is no DNS. */
    static InetSocketAddress address(Fields told, String key) {
        String text = told.text(key);
        int colon = text.lastIndexOf(':');
        if (colon < 1 || !text.substring(colon + 1).matches("\\d{1,5}")
            || Integer.parseInt(text.substring(colon + 1)) > 65_535) {
            throw told.bad(key, "is not host:port: " + text);
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
