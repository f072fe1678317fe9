package wheatspread.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import java.util.OptionalLong;
import wheatspread.admission.DependencyKind;
import wheatspread.admission.RequestClass;
import wheatspread.core.DeploymentSettings;

/**
 * The platform's settings of a server: addresses, limits, the seed, and the request classes and tenants of its
 * deployment. {@code docs/design/deployments.md} lists the optional settings of a deployment and the meaning of their
 * absence.
 *
 * @param seed the seed of random numbers; empty if each process draws its own
 * @param records the address of the records service; null if the deployment has none because no class calls it
 * @param announce the address of the announce service; null if the deployment has none
 * @param control the address of the operators' endpoint ({@code control}, {@code GW_CONTROL}); null for none
 * @param inheritedDescriptor the descriptor of an inherited listening socket for {@code listen}
 *     ({@code GW_INHERITED_FD}); -1 if the server binds the socket itself
 * @param sharedDirectory the directory in which the processes of an upgrade share the idempotency keys that either ran
 *     ({@code shared}; {@code $TMPDIR} if a socket is inherited); null for none
 */
public record ServerConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress kernel,
        InetSocketAddress records,
        InetSocketAddress announce,
        OptionalLong seed,
        long shutdownTimeoutMicros,
        int maxSockets,
        DeploymentSettings site,
        InetSocketAddress control,
        int inheritedDescriptor,
        Path sharedDirectory) {
    private static final int DEFAULT_STOP_MS = 3_000;
    private static final int DEFAULT_MAX_SOCKETS = 1_024;
    /** The key that {@code GW_INHERITED_FD} overrides. */
    static final String INHERITED_DESCRIPTOR_KEY = "inherited_fd";

    /** Reads the file that {@code GW_CONFIG} names; {@code GW_NAME} and {@code GW_LISTEN} override it. */
    public static ServerConfig fromEnvironment(Map<String, String> environment) {
        String file = environment.get("GW_CONFIG");
        if (file == null) {
            throw new JsonFields.InvalidValueException(
                    "GW_CONFIG is missing from the environment; expected the path of the platform's settings file");
        }
        return read(fields(Path.of(file), environment));
    }

    /** Returns the fields of the file with the overrides of the environment. */
    static JsonFields fields(Path file, Map<String, String> environment) {
        JsonFields fields =
                JsonFile.read(file, Map.of("settings." + SettingsReader.TENANTS, () -> new TenantReader(true)));
        for (var key : Map.of("name", "GW_NAME", "listen", "GW_LISTEN", "control", "GW_CONTROL")
                .entrySet()) {
            if (environment.get(key.getValue()) != null) {
                fields.override(key.getKey(), environment.get(key.getValue()), key.getValue());
            }
        }
        String inherited = environment.get("GW_INHERITED_FD");
        if (inherited != null) {
            Object fd = inherited.strip().matches("\\d{1,9}") ? (Object) Integer.valueOf(inherited.strip()) : inherited;
            fields.override(INHERITED_DESCRIPTOR_KEY, fd, "GW_INHERITED_FD");
            String tmp = environment.get("TMPDIR");
            if (tmp != null && !tmp.isBlank() && !fields.has("shared")) {
                fields.override("shared", Path.of(tmp, "wheatspread-shared").toString(), "TMPDIR");
            }
        }
        return fields;
    }

    /** Returns this configuration with the addresses of kernel, records and announce service of another one. */
    public ServerConfig withAddressesOf(ServerConfig other) {
        return new ServerConfig(
                name,
                listen,
                other.kernel,
                other.records,
                other.announce,
                seed,
                shutdownTimeoutMicros,
                maxSockets,
                site,
                control,
                inheritedDescriptor,
                sharedDirectory);
    }

    /**
     * Checks the file of a reload: it must contain the address of every service that the server uses, although the
     * address is optional at the start.
     */
    public void requireNoServiceRemoved(ServerConfig next) {
        requireNotRemoved("records", records, next.records);
        requireNotRemoved("announce", announce, next.announce);
    }

    private static void requireNotRemoved(String key, InetSocketAddress before, InetSocketAddress after) {
        if (before != null && after == null) {
            throw new JsonFields.InvalidValueException(key + " is missing; this server uses the service at " + before
                    + ", which a reload must not remove");
        }
    }

    /** Reads and checks the fields of a file. */
    public static ServerConfig read(JsonFields fields) {
        JsonFields limits = fields.object("limits", true);
        DeploymentSettings deployment = readDeployment(fields.object("settings", false));
        ServerConfig config = new ServerConfig(
                fields.text("name"),
                address(fields, "listen"),
                address(fields, "kernel"),
                records(fields, deployment),
                addressOrNone(fields, "announce"),
                seed(fields),
                fields.integer("stop_ms", DEFAULT_STOP_MS, 100, 600_000) * 1000L,
                limits.integer("sockets", DEFAULT_MAX_SOCKETS, 64, 1 << 20),
                deployment,
                addressOrNone(fields, "control"),
                fields.integer(INHERITED_DESCRIPTOR_KEY, -1, -1, 1 << 20),
                fields.has("shared") ? Path.of(fields.text("shared")) : null);
        fields.throwIfInvalid();
        return config;
    }

    /** Returns only the deployment's settings, for the checks of the operator's file; null if they have a fault. */
    static DeploymentSettings deploymentOf(JsonFields fields) {
        try {
            return fields.has("settings") ? readDeployment(fields.object("settings", false)) : null;
        } catch (IllegalArgumentException e) {
            return null; // the caller has the faults from reading the whole file
        }
    }

    private static DeploymentSettings readDeployment(JsonFields settings) {
        TenantReader tenants =
                settings.largeList(SettingsReader.TENANTS, TenantReader.class, () -> new TenantReader(true));
        settings.recordSummary(SettingsReader.TENANTS, tenants.summary());
        DeploymentSettings deployment = new DeploymentSettings(
                SettingsReader.read(settings, tenants),
                SettingsReader.names(settings, "Lanes"),
                tenants.names(),
                SettingsReader.gauges(settings));
        if (deployment.classes().isEmpty()) {
            settings.report("Lanes", "is empty; expected at least one request class", null);
        }
        return deployment;
    }

    private static OptionalLong seed(JsonFields fields) {
        try {
            return fields.has("seed")
                    ? OptionalLong.of(Long.parseUnsignedLong(fields.text("seed"), 16))
                    : OptionalLong.empty();
        } catch (NumberFormatException e) {
            return fields.report("seed", "is not up to 16 hex digits: " + fields.text("seed"), OptionalLong.empty());
        }
    }

    /** Returns the address of the records service, which is required if a class of the deployment calls it. */
    private static InetSocketAddress records(JsonFields fields, DeploymentSettings deployment) {
        boolean calls = deployment.settings().dependency().kind() != DependencyKind.NONE
                && deployment.settings().classes().stream().anyMatch(RequestClass::callsDependency);
        return calls ? address(fields, "records") : addressOrNone(fields, "records");
    }

    private static InetSocketAddress addressOrNone(JsonFields fields, String key) {
        return fields.has(key) ? address(fields, key) : null;
    }

    /** Returns an address given as {@code host:port}; the host is an IP address, since there is no DNS. */
    static InetSocketAddress address(JsonFields fields, String key) {
        String text = fields.text(key);
        int colon = text.lastIndexOf(':');
        if (colon < 1
                || !text.substring(colon + 1).matches("\\d{1,5}")
                || Integer.parseInt(text.substring(colon + 1)) > 65_535) {
            if (!text.isEmpty()) {
                fields.report(key, "is not host:port: " + text, "host:port", null);
            }
            return new InetSocketAddress(0);
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
