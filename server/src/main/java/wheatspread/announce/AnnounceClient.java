package wheatspread.announce;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import wheatspread.core.Announcer;
import wheatspread.logging.EventLog;

/**
 * Reports to the announce service whether this server accepts work. Reports repeat as heartbeats, since an
 * entry expires 3 s after its last report. A report without an answer delays nothing: the next one, or a
 * change, goes over a new connection.
 *
 * <p>All methods run on the event loop. {@link #close} ends the reports.
 */
public final class AnnounceClient implements Announcer {
    /** Four reports may be lost before an entry expires. */
    private static final long REPORT_INTERVAL_MS = 600;

    /** A change is reported again after this long, since the service may read an older report after it. */
    private static final long REPEAT_CHANGE_DELAY_MS = 150;

    private final EventLoopGroup loop;
    private final Bootstrap clients;
    private final String serverName;
    private final EventLog log;
    private final AnnounceConnection.Owner connectionOwner = new ConnectionOwner();
    /** Null where the deployment has no announce service. */
    private InetSocketAddress address;
    /** Where the last report went, or is to go once it is connected. */
    private AnnounceConnection connection;

    /** Null before the first call of {@link #announce}. */
    private Boolean accepting;

    private boolean started;
    private boolean closed;

    /** {@code address} is null where the deployment has no announce service: then nothing is reported. */
    public AnnounceClient(Bootstrap clients, InetSocketAddress address, String serverName, EventLog log) {
        loop = clients.config().group();
        this.clients = clients;
        this.address = address;
        this.serverName = serverName;
        this.log = log;
    }

    @Override
    public void announce(boolean value) {
        boolean changed = accepting == null || accepting != value;
        accepting = value;
        if (!started) {
            started = true;
            loop.scheduleAtFixedRate(this::report, 0, REPORT_INTERVAL_MS, TimeUnit.MILLISECONDS);
        } else if (changed) {
            report();
            loop.schedule(this::report, REPEAT_CHANGE_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Reports to a service at another address from now on, the first time at once. */
    public void moveTo(InetSocketAddress next) {
        if (!Objects.equals(next, address)) {
            address = next;
            dropConnection();
            if (started) {
                report();
            }
        }
    }

    /** Ends the reports and closes the connection. */
    public void close() {
        closed = true;
        dropConnection();
    }

    private void dropConnection() {
        if (connection != null) {
            connection.close();
            connection = null;
        }
    }

    private void report() {
        if (closed || address == null) {
            return;
        }
        if (connection != null && !connection.awaitsAnswer()) {
            connection.send();
        } else {
            dropConnection(); // to wait for its answer would delay this report and the next ones
            connection = new AnnounceConnection(connectionOwner, address, serverName, log);
            connection.connect(clients);
        }
    }

    private final class ConnectionOwner implements AnnounceConnection.Owner {
        @Override
        public boolean accepting() {
            return accepting;
        }

        @Override
        public void ended(AnnounceConnection ended) {
            if (connection == ended) {
                connection = null;
            }
        }
    }
}
