package wheatspread.records;

import io.netty.bootstrap.Bootstrap;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import wheatspread.admission.Outcome;
import wheatspread.core.Clock;
import wheatspread.core.RecordsService;
import wheatspread.logging.EventLog;

/**
 * Calls the records service over a pool of connections. A corrupt or missing reply makes its connection useless for
 * all calls on it, so calls do not share a connection until the pool has reached its maximum size.
 *
 * <p>All methods must be called on the event loop. {@link #close} closes the connections, and the calls on them end
 * with {@link Outcome#RESET}.
 */
public final class RecordsClient implements RecordsService {
    /** The service may close or drop a connection that is idle for longer than this, which would lose a call on it. */
    private static final long MAX_IDLE_MICROS = 1_000_000;

    private static final long IDLE_CHECK_INTERVAL_MICROS = 500_000;
    private static final long MICROS_PER_MILLI = 1_000;

    private final Bootstrap bootstrap;
    private final Clock clock;
    private final int maxConnections;
    private final EventLog log;
    private final ConnectionPool pool = new ConnectionPool();

    private InetSocketAddress address;
    private boolean idleCheckScheduled;

    /**
     * Creates a client whose calls share connections once {@code maxConnections} are open. {@code address} is null if
     * the deployment has no records service; calls then end with {@link Outcome#CONNECT_ERROR}.
     */
    public RecordsClient(
            Bootstrap bootstrap, InetSocketAddress address, int maxConnections, Clock clock, EventLog log) {
        this.bootstrap = bootstrap;
        this.address = address;
        this.maxConnections = maxConnections;
        this.clock = clock;
        this.log = log;
    }

    @Override
    public Call call(String job, byte[] body, long timeoutMicros, Listener listener) {
        if (address == null) {
            return refusedCall(listener);
        }
        RecordsConnection connection = select(job);
        long timeoutMs = Math.max(1, timeoutMicros / MICROS_PER_MILLI);
        PendingCall call = new PendingCall(connection, job, body, timeoutMs, listener);
        connection.add(call);
        return call;
    }

    private Call refusedCall(Listener listener) {
        Clock.Timer refusal = clock.schedule(0, () -> listener.onCallEnded(Outcome.CONNECT_ERROR, null));
        return refusal::cancel;
    }

    /** Sends further calls to another address; pending calls may end at the old address. */
    public void moveTo(InetSocketAddress next) {
        if (!Objects.equals(next, address)) {
            address = next;
            pool.drainAll();
        }
    }

    /** Closes all connections; the calls on them end with {@link Outcome#RESET}. */
    public void close() {
        pool.closeAll();
    }

    /**
     * Selects the most recently used connection without pending calls, so that the other connections become idle and
     * close. If every connection has a pending call, opens a new connection, or selects the connection with the fewest
     * pending calls if the pool has reached its maximum size.
     */
    private RecordsConnection select(String job) {
        RecordsConnection best = null;
        for (RecordsConnection connection : pool.available()) {
            if (connection.idleMicros() > MAX_IDLE_MICROS) {
                connection.close();
            } else if (connection.accepts(job) && (best == null || connection.pendingCalls() <= best.pendingCalls())) {
                best = connection;
            }
        }
        boolean full = pool.size() >= maxConnections;
        if (best == null || best.pendingCalls() > 0 && !full) {
            best = new RecordsConnection(pool, clock, log);
            best.connect(bootstrap, address);
        }
        pool.markUsed(best);
        if (!idleCheckScheduled) {
            idleCheckScheduled = true;
            clock.schedule(IDLE_CHECK_INTERVAL_MICROS, this::closeIdle);
        }
        return best;
    }

    private void closeIdle() {
        pool.available().stream()
                .filter(connection -> connection.idleMicros() > MAX_IDLE_MICROS)
                .forEach(RecordsConnection::close);
        idleCheckScheduled = pool.hasAvailable();
        if (idleCheckScheduled) {
            clock.schedule(IDLE_CHECK_INTERVAL_MICROS, this::closeIdle);
        }
    }

    /** The connections that accept calls, and those that drain. */
    private static final class ConnectionPool implements RecordsConnection.Pool {
        /** The connections to the current address, ordered from least to most recently used. */
        private final List<RecordsConnection> available = new ArrayList<>();

        private final Set<RecordsConnection> draining = new HashSet<>();

        /** Returns a copy, so that callers may close connections while they iterate. */
        List<RecordsConnection> available() {
            return new ArrayList<>(available);
        }

        boolean hasAvailable() {
            return !available.isEmpty();
        }

        int size() {
            return available.size() + draining.size();
        }

        void markUsed(RecordsConnection connection) {
            available.remove(connection);
            available.add(connection);
        }

        void drainAll() {
            available().forEach(RecordsConnection::drain);
        }

        void closeAll() {
            available().forEach(RecordsConnection::close);
            new ArrayList<>(draining).forEach(RecordsConnection::close);
        }

        @Override
        public void draining(RecordsConnection connection) {
            available.remove(connection);
            draining.add(connection);
        }

        @Override
        public void remove(RecordsConnection connection) {
            available.remove(connection);
            draining.remove(connection);
        }

        @Override
        public boolean contains(RecordsConnection connection) {
            return available.contains(connection) || draining.contains(connection);
        }

        @Override
        public boolean isDraining(RecordsConnection connection) {
            return draining.contains(connection);
        }
    }
}
