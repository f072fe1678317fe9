package wheatspread.config;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import wheatspread.core.DeploymentSettings;

/**
 * All settings of one server: those of the platform's and of the operator's file, each checked separately and against
 * the other.
 *
 * @param sources the files, with the effective settings and their origins
 */
public record Configuration(ServerConfig server, OperatorConfig operator, List<SettingsSource> sources) {
    /** Descriptors for kernel, announce service, listeners, the JVM's files and clients that are being disconnected. */
    private static final int RESERVED_SOCKETS = 32;
    /** Connections to the records service may use the number of descriptors divided by this. */
    private static final int RECORDS_DIVISOR = 8;

    private static final int MAX_RECORDS_CONNECTIONS = 40;

    /** Returns the maximum number of connections to the records service, given the number of descriptors. */
    public static int maxRecordsConnections(int sockets) {
        return Math.min(MAX_RECORDS_CONNECTIONS, sockets / RECORDS_DIVISOR);
    }

    /**
     * Returns the maximum number of connections of the platform's protocol.
     *
     * @throws JsonFields.InvalidValueException if the settings leave no connection for it
     */
    public static int maxPlatformConnections(ServerConfig server, OperatorConfig operator) {
        int sockets = server.maxSockets() - RESERVED_SOCKETS - maxRecordsConnections(server.maxSockets());
        if (operator.maxConnections() > sockets) {
            throw new JsonFields.InvalidValueException("connections.max is " + operator.maxConnections()
                    + "; with limits.sockets of " + server.maxSockets() + ", allowed is up to " + sockets);
        }
        sockets = operator.maxConnections() > 0 ? operator.maxConnections() : sockets;
        sockets -= operator.uwsgi() == null ? 0 : operator.uwsgi().maxConnections();
        if (sockets < 1) {
            throw new JsonFields.InvalidValueException(
                    "uwsgi.max_connections is " + operator.uwsgi().maxConnections()
                            + ", which leaves no connections for the platform's protocol; allowed is up to "
                            + (operator.uwsgi().maxConnections() + sockets - 1));
        }
        return sockets;
    }

    /**
     * Reads and checks all settings; {@code operatorFile} is null if there is none. The faults of both files are
     * thrown in one exception.
     */
    public static Configuration load(Map<String, String> environment, Path operatorFile) {
        try {
            return loadAll(environment, operatorFile);
        } catch (OutOfMemoryError e) {
            throw JsonFields.InvalidValueException.outOfMemory("the configuration");
        }
    }

    private static Configuration loadAll(Map<String, String> environment, Path operatorFile) {
        ConfigProblems problems = new ConfigProblems();
        List<SettingsSource> sources = new ArrayList<>();
        ServerConfig server = null;
        String file = environment.get("GW_CONFIG");
        DeploymentSettings deployment = null;
        if (file == null) {
            problems.add(
                    "GW_CONFIG is missing from the environment; expected the path of the platform's settings file");
        } else {
            JsonFields fields = null;
            try {
                fields = ServerConfig.fields(Path.of(file), environment);
                sources.add(fields.source());
                server = ServerConfig.read(fields);
                deployment = server.site();
            } catch (JsonFields.InvalidValueException e) {
                problems.addAll(e);
                deployment = fields == null ? null : ServerConfig.deploymentOf(fields);
            }
        }
        OperatorConfig operator = OperatorConfig.DEFAULT;
        if (operatorFile != null) {
            try {
                JsonFields fields = OperatorConfig.fields(operatorFile, deployment);
                sources.add(fields.source());
                operator = OperatorConfig.read(fields, deployment);
            } catch (JsonFields.InvalidValueException e) {
                problems.addAll(e);
            }
        }
        if (problems.isEmpty()) {
            try {
                maxPlatformConnections(server, operator);
            } catch (JsonFields.InvalidValueException e) {
                problems.addAll(e);
            }
        }
        if (!problems.isEmpty()) {
            throw new JsonFields.InvalidValueException(problems);
        }
        return new Configuration(server, operator, sources);
    }
}
