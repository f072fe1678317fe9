package wheatspread.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import wheatspread.admission.DependencyKind;
import wheatspread.admission.RequestClass;
import wheatspread.core.DeploymentSettings;

/**
 * What a real server is told: addresses, limits, the seed, and the settings of its site. What a deployment
 * may leave out, and what its absence means, stands in {@code docs/design/deployments.md}.
 *
 * @param records where the records service is; null where the deployment has none, since no class calls it
 * @param announce where the announce service is; null where nobody keeps a list
 * @param control where the operators' door listens ({@code control}, {@code GW_CONTROL}); null for none
 * @param inherited the descriptor of a listening socket the platform hands over for {@code listen}
 *     ({@code GW_INHERITED_FD}); -1 where the server binds its own
 * @param shared a folder that the processes of an upgrade share, for the keys that either ran
 *     ({@code shared}; {@code $TMPDIR} where a socket is handed over); null for none
 */
public record ServerConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress kernel,
        InetSocketAddress records,
        InetSocketAddress announce,
        long seed,
        long stopMicros,
        int sockets,
        DeploymentSettings site,
        InetSocketAddress control,
        int inherited,
        Path shared) {
    private static final int DEFAULT_STOP_MS = 3_000;
    private static final int DEFAULT_SOCKETS = 1_024;
    /** The key that {@code GW_INHERITED_FD} stands for; a file may say it too. */
    static final String INHERITED = "inherited_fd";

    /** Reads the file that {@code GW_CONFIG} names; {@code GW_NAME} and {@code GW_LISTEN} go over it. */
    public static ServerConfig fromEnvironment(Map<String, String> environment) {
        String file = environment.get("GW_CONFIG");
        if (file == null) {
            throw new JsonFields.InvalidValueException("GW_CONFIG is missing from the environment");
        }
        return read(fields(Path.of(file), environment));
    }

    /** The file's keys, with what the environment puts over them. */
    static JsonFields fields(Path file, Map<String, String> environment) {
        JsonFields told =
                JsonFile.read(file, Map.of("settings." + SettingsReader.TENANTS, () -> new TenantReader(true)));
        for (var key : Map.of("name", "GW_NAME", "listen", "GW_LISTEN", "control", "GW_CONTROL")
                .entrySet()) {
            if (environment.get(key.getValue()) != null) {
                told.override(key.getKey(), environment.get(key.getValue()), key.getValue());
            }
        }
        String inherited = environment.get("GW_INHERITED_FD");
        if (inherited != null) {
            Object fd = inherited.strip().matches("\\d{1,9}") ? (Object) Integer.valueOf(inherited.strip()) : inherited;
            told.override(INHERITED, fd, "GW_INHERITED_FD");
            String tmp = environment.get("TMPDIR");
            if (tmp != null && !tmp.isBlank() && !told.has("shared")) {
                told.override("shared", Path.of(tmp, "wheatspread-shared").toString(), "TMPDIR");
            }
        }
        return told;
    }

    /** This configuration with the addresses at which another one reaches the parties round the server. */
    public ServerConfig withAddressesOf(ServerConfig other) {
        return new ServerConfig(
                name,
                listen,
                other.kernel,
                other.records,
                other.announce,
                seed,
                stopMicros,
                sockets,
                site,
                control,
                inherited,
                shared);
    }

    /**
     * Guards a reload against a file that lost a part: an address that may be absent at the start is none to
     * drop while the server goes on.
     */
    public void requireWhatItHad(ServerConfig next) {
        requireStill("records", records, next.records);
        requireStill("announce", announce, next.announce);
    }

    private static void requireStill(String key, InetSocketAddress had, InetSocketAddress has) {
        if (had != null && has == null) {
            throw new JsonFields.InvalidValueException(key + " is missing, and this server has used " + had);
        }
    }

    public static ServerConfig read(JsonFields told) {
        JsonFields limits = told.object("limits", true);
        DeploymentSettings site = site(told.object("settings", false));
        ServerConfig config = new ServerConfig(
                told.text("name"),
                address(told, "listen"),
                address(told, "kernel"),
                records(told, site),
                addressOrNone(told, "announce"),
                seed(told),
                told.integer("stop_ms", DEFAULT_STOP_MS, 100, 600_000) * 1000L,
                limits.integer("sockets", DEFAULT_SOCKETS, 64, 1 << 20),
                site,
                addressOrNone(told, "control"),
                told.integer(INHERITED, -1, -1, 1 << 20),
                told.has("shared") ? Path.of(told.text("shared")) : null);
        told.settle();
        return config;
    }

    /** The site alone, for the checks of another file that speaks of its classes; null where it is faulty. */
    static DeploymentSettings siteOf(JsonFields told) {
        try {
            return told.has("settings") ? site(told.object("settings", false)) : null;
        } catch (IllegalArgumentException e) {
            return null; // the whole file is read next, and complains
        }
    }

    private static DeploymentSettings site(JsonFields settings) {
        TenantReader tenants = settings.large(SettingsReader.TENANTS, TenantReader.class, () -> new TenantReader(true));
        settings.summary(SettingsReader.TENANTS, tenants.summary());
        DeploymentSettings site = new DeploymentSettings(
                SettingsReader.read(settings, tenants),
                SettingsReader.names(settings, "Lanes"),
                tenants.names(),
                SettingsReader.gauges(settings));
        if (site.classes().isEmpty()) {
            settings.fault("Lanes", "names no class of requests", null);
        }
        return site;
    }

    private static long seed(JsonFields told) {
        try {
            return told.has("seed") ? Long.parseUnsignedLong(told.text("seed"), 16) : 0;
        } catch (NumberFormatException e) {
            return told.fault("seed", "is not up to 16 hex digits: " + told.text("seed"), 0L);
        }
    }

    /** Where calls go: it must be there as soon as a class of the site may call, and only then. */
    private static InetSocketAddress records(JsonFields told, DeploymentSettings site) {
        boolean calls = site.settings().dependency().kind() != DependencyKind.NONE
                && site.settings().classes().stream().anyMatch(RequestClass::callsDependency);
        return calls ? address(told, "records") : addressOrNone(told, "records");
    }

    private static InetSocketAddress addressOrNone(JsonFields told, String key) {
        return told.has(key) ? address(told, key) : null;
    }

    /** An address as host and port; the host stands as a number, since there is no DNS. */
    static InetSocketAddress address(JsonFields told, String key) {
        String text = told.text(key);
        int colon = text.lastIndexOf(':');
        if (colon < 1
                || !text.substring(colon + 1).matches("\\d{1,5}")
                || Integer.parseInt(text.substring(colon + 1)) > 65_535) {
            if (!text.isEmpty()) {
                told.fault(key, "is not host:port: " + text, null);
            }
            return new InetSocketAddress(0);
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
