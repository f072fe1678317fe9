package wheatspread.announce;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import wheatspread.core.Announcer;
import wheatspread.logging.EventLog;

/**
 * Reports to the announce service whether this server accepts requests. Reports are repeated as heartbeats, because
 * an entry of the service expires 3 s after its last report. A report without an answer does not delay the next
 * report, which is sent over a new connection.
 *
 * <p>All methods must be called on the event loop. {@link #close} ends the reports.
 */
public final class AnnounceClient implements Announcer {
    /** Four reports in a row may be lost before the entry of this server expires. */
    private static final long REPORT_INTERVAL_MS = 600;

    /** A change is reported again after this delay, since the service may read an older report after the change. */
    private static final long REPEAT_CHANGE_DELAY_MS = 150;

    private final EventLoopGroup loop;
    private final Bootstrap bootstrap;
    private final String serverName;
    private final EventLog log;
    private final AnnounceConnection.Owner connectionOwner = new ConnectionOwner();
    /** Null if the deployment has no announce service. */
    private InetSocketAddress address;
    /** The connection of the last report, which may still be connecting; null if there is none. */
    private AnnounceConnection connection;

    /** Null before the first call of {@link #announce}. */
    private Boolean accepting;

    private boolean started;
    private boolean closed;

    /** Creates a client; {@code address} is null if the deployment has no announce service, and no reports are sent. */
    public AnnounceClient(Bootstrap bootstrap, InetSocketAddress address, String serverName, EventLog log) {
        loop = bootstrap.config().group();
        this.bootstrap = bootstrap;
        this.address = address;
        this.serverName = serverName;
        this.log = log;
    }

    @Override
    public void announce(boolean nowAccepting) {
        boolean changed = accepting == null || accepting != nowAccepting;
        accepting = nowAccepting;
        if (!started) {
            started = true;
            loop.scheduleAtFixedRate(this::report, 0, REPORT_INTERVAL_MS, TimeUnit.MILLISECONDS);
        } else if (changed) {
            report();
            loop.schedule(this::report, REPEAT_CHANGE_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Sends further reports to another address, starting with an immediate report. */
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
            dropConnection(); // waiting for the answer would delay this report and later ones
            connection = new AnnounceConnection(connectionOwner, address, serverName, log);
            connection.connect(bootstrap);
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
