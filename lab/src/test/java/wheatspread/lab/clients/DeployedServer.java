package wheatspread.lab.clients;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.json.JSONArray;
import org.json.JSONObject;
import wheatspread.lab.DeployFile;
import wheatspread.lab.Sites;
import wheatspread.lab.rig.Ports;
import wheatspread.lab.rig.ProcessFigures;
import wheatspread.lab.standins.ServerProcess;
import wheatspread.lab.standins.StandInAddress;
import wheatspread.lab.standins.StandInServices;

/** The built server with the flags of the deploy file, the bounds of the example operator file, and all ports on. */
final class DeployedServer implements AutoCloseable {
    static final int MEMORY_LIMIT_MB = 192;
    static final int MAX_SOCKETS = 1_024;
    static final int UWSGI = 0;
    static final int JSON_RPC = 1;
    static final int CONTROL = 2;
    static final int MEMBERSHIP = 3;

    private static final Path JAR = Path.of("../server/target/wheatspread.jar");
    private static final Path DEPLOY = Path.of("../deploy/balancer.toml");
    private static final Path OPERATOR_FILE = Path.of("../deploy/uwsgi.json");
    private static final long RUN_MICROS = 1_000;

    private final StandInServices services = new StandInServices(RUN_MICROS, RUN_MICROS);
    private final InetSocketAddress control;
    private final InetSocketAddress peers;
    private final ServerProcess process;

    DeployedServer() throws IOException, InterruptedException {
        this(null);
    }

    /** Starts a server that reports to the announce service at an address; null for the stand-in. */
    DeployedServer(InetSocketAddress announce) throws IOException, InterruptedException {
        Ports ports = new Ports();
        control = ports.next();
        peers = ports.next();
        JSONObject config = Sites.config(services, MAX_SOCKETS).put("control", StandInAddress.format(control));
        config.getJSONObject("limits").put("memory_mb", MEMORY_LIMIT_MB);
        if (announce != null) {
            config.put("announce", StandInAddress.format(announce));
        }
        process = new ServerProcess(JAR, config, operatorFile(), deployedFlags(), -1);
    }

    private String operatorFile() throws IOException {
        String address = StandInAddress.format(peers);
        JSONObject operator = new JSONObject(Files.readString(OPERATOR_FILE));
        operator.getJSONObject("uwsgi").put("listen", "127.0.0.1:0");
        operator.put(
                "membership",
                new JSONObject()
                        .put("cluster", "lab")
                        .put("listen", address)
                        .put("seeds", new JSONArray().put(address)));
        return operator.toString();
    }

    /** Returns the deployed flags, with paths as they are seen from the folder of this module. */
    private static List<String> deployedFlags() throws IOException {
        return DeployFile.flags(DEPLOY).stream()
                .map(flag -> flag.replace("server/target", "../server/target"))
                .toList();
    }

    /** Returns the address of one of the ports that the constants above number. */
    InetSocketAddress address(int port) {
        return switch (port) {
            case CONTROL -> control;
            case MEMBERSHIP -> peers;
            default -> new InetSocketAddress("127.0.0.1", process.port(port));
        };
    }

    StandInServices services() {
        return services;
    }

    List<String> log() {
        return process.log();
    }

    long peakResidentMb() throws IOException {
        return ProcessFigures.peakResidentBytes(process.pid()) >> 20;
    }

    boolean terminate() throws InterruptedException {
        return process.terminate();
    }

    @Override
    public void close() {
        process.close();
        services.close();
    }
}
