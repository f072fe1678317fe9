package wheatspread.config;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import wheatspread.core.DeploymentSettings;

/**
 * All settings of one server: the platform's and the operator's file, each checked by itself and against the
 * other.
 *
 * @param sources the files, with the settings that hold and their origins
 */
public record Configuration(ServerConfig server, OperatorConfig operator, List<SettingsSource> sources) {
    /** Descriptors for kernel, announce service, listeners, the JVM's files and callers about to be closed. */
    private static final int RESERVED_SOCKETS = 32;
    /** The fraction of all descriptors for connections to the records service: one in so many. */
    private static final int RECORDS_FRACTION = 8;

    private static final int MAX_RECORDS_CONNECTIONS = 40;

    /** How many connections the records client may open, given the number of descriptors. */
    public static int maxRecordsConnections(int sockets) {
        return Math.min(MAX_RECORDS_CONNECTIONS, sockets / RECORDS_FRACTION);
    }

    /** How many connections the platform's protocol may have; fails if the settings leave it none. */
    public static int maxPlatformConnections(ServerConfig server, OperatorConfig operator) {
        int sockets = server.maxSockets() - RESERVED_SOCKETS - maxRecordsConnections(server.maxSockets());
        if (operator.maxConnections() > sockets) {
            throw new JsonFields.InvalidValueException(
                    "connections.max is " + operator.maxConnections() + ", and limits.sockets leaves " + sockets);
        }
        sockets = operator.maxConnections() > 0 ? operator.maxConnections() : sockets;
        sockets -= operator.uwsgi() == null ? 0 : operator.uwsgi().maxConnections();
        if (sockets < 1) {
            throw new JsonFields.InvalidValueException(
                    "uwsgi.max_connections leaves no sockets to the platform's front");
        }
        return sockets;
    }

    /**
     * Reads and checks everything; {@code operatorFile} is null if there is none. All problems, in whichever
     * file, are in the one exception.
     */
    public static Configuration load(Map<String, String> environment, Path operatorFile) {
        try {
            return loadAll(environment, operatorFile);
        } catch (OutOfMemoryError e) {
            throw JsonFields.InvalidValueException.outOfMemory("what the settings ask for");
        }
    }

    private static Configuration loadAll(Map<String, String> environment, Path operatorFile) {
        ConfigProblems problems = new ConfigProblems();
        List<SettingsSource> sources = new ArrayList<>();
        ServerConfig server = null;
        String file = environment.get("GW_CONFIG");
        DeploymentSettings site = null;
        if (file == null) {
            problems.add("GW_CONFIG is missing from the environment");
        } else {
            JsonFields fields = null;
            try {
                fields = ServerConfig.fields(Path.of(file), environment);
                sources.add(fields.source());
                server = ServerConfig.read(fields);
                site = server.site();
            } catch (JsonFields.InvalidValueException e) {
                problems.addAll(e);
                site = fields == null ? null : ServerConfig.siteOf(fields);
            }
        }
        OperatorConfig operator = OperatorConfig.DEFAULT;
        if (operatorFile != null) {
            try {
                JsonFields fields = OperatorConfig.fields(operatorFile, site);
                sources.add(fields.source());
                operator = OperatorConfig.read(fields, site);
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
