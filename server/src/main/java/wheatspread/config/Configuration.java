package wheatspread.config;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import wheatspread.core.DeploymentSettings;

/**
 * All settings of one server: what the platform told it and the operator's own file, checked each by itself
 * and against one another.
 *
 * @param sources the files, for what holds and where it comes from
 */
public record Configuration(ServerConfig server, OperatorConfig operator, List<SettingsSource> sources) {
    /** Descriptors for kernel, announce, listeners, the JVM's own files and callers about to be closed. */
    private static final int OWN_SOCKETS = 32;
    /** Connections to the records service, as a share of all descriptors and at most. */
    private static final int RECORDS_PART = 8;

    private static final int RECORDS_MOST = 40;

    /** How many connections the records client may hold of so many descriptors. */
    public static int recordsConnections(int sockets) {
        return Math.min(RECORDS_MOST, sockets / RECORDS_PART);
    }

    /** Connections for the platform's front, or a complaint. */
    public static int platformConnections(ServerConfig server, OperatorConfig operator) {
        int sockets = server.sockets() - OWN_SOCKETS - recordsConnections(server.sockets());
        if (operator.mostConnections() > sockets) {
            throw new JsonFields.InvalidValueException(
                    "connections.max is " + operator.mostConnections() + ", and limits.sockets leaves " + sockets);
        }
        sockets = operator.mostConnections() > 0 ? operator.mostConnections() : sockets;
        sockets -= operator.uwsgi() == null ? 0 : operator.uwsgi().mostConnections();
        if (sockets < 1) {
            throw new JsonFields.InvalidValueException(
                    "uwsgi.max_connections leaves no sockets to the platform's front");
        }
        return sockets;
    }

    /**
     * Reads and checks everything; {@code operatorFile} is null where there is none. All that is wrong, in
     * whichever file, is in the one complaint.
     */
    public static Configuration load(Map<String, String> environment, Path operatorFile) {
        try {
            return loadAll(environment, operatorFile);
        } catch (OutOfMemoryError e) {
            throw JsonFields.InvalidValueException.outOfMemory("what the settings ask for");
        }
    }

    private static Configuration loadAll(Map<String, String> environment, Path operatorFile) {
        ConfigProblems faults = new ConfigProblems();
        List<SettingsSource> sources = new ArrayList<>();
        ServerConfig server = null;
        String file = environment.get("GW_CONFIG");
        DeploymentSettings site = null;
        if (file == null) {
            faults.add("GW_CONFIG is missing from the environment");
        } else {
            JsonFields told = null;
            try {
                told = ServerConfig.fields(Path.of(file), environment);
                sources.add(told.source());
                server = ServerConfig.read(told);
                site = server.site();
            } catch (JsonFields.InvalidValueException e) {
                faults.addAll(e);
                site = told == null ? null : ServerConfig.siteOf(told);
            }
        }
        OperatorConfig operator = OperatorConfig.NONE;
        if (operatorFile != null) {
            try {
                JsonFields told = OperatorConfig.fields(operatorFile, site);
                sources.add(told.source());
                operator = OperatorConfig.read(told, site);
            } catch (JsonFields.InvalidValueException e) {
                faults.addAll(e);
            }
        }
        if (faults.isEmpty()) {
            try {
                platformConnections(server, operator);
            } catch (JsonFields.InvalidValueException e) {
                faults.addAll(e);
            }
        }
        if (!faults.isEmpty()) {
            throw new JsonFields.InvalidValueException(faults);
        }
        return new Configuration(server, operator, sources);
    }
}
