package wheatspread.lab.settings;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import org.json.JSONObject;
import wheatspread.lab.rig.Ports;
import wheatspread.lab.standins.StandInAddress;
import wheatspread.lab.standins.StandInServices;

/** A server process with its files and stand-ins for its kernel, the records service and the announce service. */
final class MeasurementSetup implements AutoCloseable {
    /** The duration of a dependency call; unused, because the kernel's runs make no calls. */
    private static final long DEPENDENCY_CALL_MICROS = 5_000;

    private final StandInServices standIns;
    private final TimedKernel kernel;
    private final InetSocketAddress listen;
    private final InetSocketAddress uwsgi;
    private final JSONObject configuration;
    private final MeasuredServer server;
    private final Size size;

    /** The numbers of tenants and routes of a server, and the duration of each run on its kernel. */
    record Size(int tenants, int routes, long runMicros) {}

    /** Starts a server; {@code command} is the command line up to {@code serve}. */
    MeasurementSetup(List<String> command, Size size) throws IOException {
        this.size = size;
        standIns = new StandInServices(size.runMicros, DEPENDENCY_CALL_MICROS);
        kernel = new TimedKernel(size.runMicros);
        Ports ports = new Ports();
        listen = ports.next();
        uwsgi = ports.next();
        InetSocketAddress control = ports.next();
        SettingsFiles.Addresses addresses = new SettingsFiles.Addresses(
                StandInAddress.format(listen),
                StandInAddress.format(uwsgi),
                StandInAddress.format(control),
                kernel.address(),
                standIns.records(),
                standIns.announce());
        configuration = SettingsFiles.configuration(addresses, size.tenants);
        JSONObject operator = SettingsFiles.operatorFile(addresses, size.routes);
        server = new MeasuredServer(command, configuration, operator, control);
    }

    MeasuredServer server() {
        return server;
    }

    TimedKernel kernel() {
        return kernel;
    }

    Size size() {
        return size;
    }

    JSONObject configuration() {
        return configuration;
    }

    /** Returns the address of the JSON-RPC front. */
    InetSocketAddress jsonRpcAddress() {
        return listen;
    }

    /** Returns the address of the uwsgi front. */
    InetSocketAddress uwsgiAddress() {
        return uwsgi;
    }

    @Override
    public void close() throws IOException {
        server.close();
        kernel.close();
        standIns.close();
    }
}
