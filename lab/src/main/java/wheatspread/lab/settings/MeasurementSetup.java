package wheatspread.lab.settings;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import org.json.JSONObject;
import wheatspread.lab.rig.Ports;
import wheatspread.lab.standins.StandInAddress;
import wheatspread.lab.standins.StandInServices;

/** One server with everybody round it played: a kernel that books its runs, records, announce, and its files. */
final class MeasurementSetup implements AutoCloseable {
    /** A call of a run takes so long; none is made, since the kernel's runs call nothing. */
    private static final long CALL_MICROS = 5_000;

    private final StandInServices parties;
    private final TimedKernel kernel;
    private final InetSocketAddress listen;
    private final InetSocketAddress uwsgi;
    private final JSONObject configuration;
    private final MeasuredServer server;
    private final Size size;

    /** How many tenants and routes a server has, and how long each run on its kernel takes. */
    record Size(int tenants, int routes, long runMicros) {}

    /** Starts a server; {@code command} starts the program up to {@code serve}. */
    MeasurementSetup(List<String> command, Size size) throws IOException {
        this.size = size;
        parties = new StandInServices(size.runMicros, CALL_MICROS);
        kernel = new TimedKernel(size.runMicros);
        Ports ports = new Ports();
        listen = ports.next();
        uwsgi = ports.next();
        InetSocketAddress control = ports.next();
        SettingsFiles.Addresses at = new SettingsFiles.Addresses(
                StandInAddress.format(listen),
                StandInAddress.format(uwsgi),
                StandInAddress.format(control),
                kernel.address(),
                parties.records(),
                parties.announce());
        configuration = SettingsFiles.configuration(at, size.tenants);
        JSONObject operator = SettingsFiles.operatorFile(at, size.routes);
        server = new MeasuredServer(command, configuration, operator, control);
    }

    MeasuredServer server() {
        return server;
    }

    TimedKernel kernel() {
        return kernel;
    }

    /** The size of the server, and how long each run on the kernel takes. */
    Size size() {
        return size;
    }

    /** The configuration with which the server was started. */
    JSONObject configuration() {
        return configuration;
    }

    /** Where the platform's front listens. */
    InetSocketAddress listen() {
        return listen;
    }

    /** Where the uwsgi front listens. */
    InetSocketAddress uwsgi() {
        return uwsgi;
    }

    @Override
    public void close() throws IOException {
        server.close();
        kernel.close();
        parties.close();
    }
}
