package wheatspread.admission.sfq;

import wheatspread.admission.AdmissionController.Actions;
import wheatspread.admission.ClientSettings;
import wheatspread.admission.LoadGauges;

/**
 * Decides when idle connections are closed early. Open connections take core time, and when the server's capacity for
 * connections is used up, clients cannot connect. Idle connections are closed after a share of the shortest latency
 * objective if clients return only after a large part of their idle timeout, or if open connections cost more than the
 * connection set-ups that they save. This early timeout is long compared with a burst and short compared with the time
 * to the client's next request. While the read delay is elevated, the early timeout is the whole objective, since
 * connection set-up takes core time too. Without a usable gauge the server closes no connections early. The policy
 * assumes that all clients send about equally often.
 */
final class IdleConnectionPolicy {
    /**
     * Mean time between a client's requests, as a share of its idle timeout, above which clients count as infrequent.
     */
    private static final double INFREQUENT_GAP_SHARE = 0.2;
    /** Factor applied to {@link #INFREQUENT_GAP_SHARE} while connections are closed early; provides hysteresis. */
    private static final double HYSTERESIS_FACTOR = 0.5;
    /** Idle timeout of connections, as a share of the shortest latency objective. */
    private static final double IDLE_TIMEOUT_SHARE = 0.1;
    /** Divisor of the clients' idle timeout that gives the time after the start before connections are closed early. */
    private static final int START_DELAY_DIVISOR = 10;
    /** Number of idle connections to which the configured cost applies. */
    private static final double CONNECTIONS_PER_COST = 100;
    /** Lower bound on the arrival rate; keeps the time between requests finite if nothing arrives. */
    private static final double MIN_ARRIVALS_PER_TICK = 1e-9;

    private final ReloadableSettings settings;
    private final DecisionClock clock;
    private final InFlightRequests inFlight;
    private final GaugeMonitor gauges;
    private final ArrivalRate arrivalRate;
    private final OverloadDetector overload;
    private boolean closing;
    private long reportedTimeoutMicros;

    IdleConnectionPolicy(
            ReloadableSettings settings,
            DecisionClock clock,
            InFlightRequests inFlight,
            GaugeMonitor gauges,
            ArrivalRate arrivalRate,
            OverloadDetector overload) {
        this.settings = settings;
        this.clock = clock;
        this.inFlight = inFlight;
        this.gauges = gauges;
        this.arrivalRate = arrivalRate;
        this.overload = overload;
    }

    void update(Actions actions) {
        ClientSettings clients = settings.current().clients();
        long clientTimeoutMicros = clients.idleTimeoutMicros();
        LoadGauges reading = gauges.last();
        if (clientTimeoutMicros == 0
                || reading == null
                || clock.nowMicros() <= clock.startedMicros() + clientTimeoutMicros / START_DELAY_DIVISOR) {
            return;
        }
        closing = shouldClose(clients, reading.openConnections() - inFlight.startedCount() - inFlight.heldCount());
        double shareOfObjective = overload.isReadDelayElevated() ? 1 : IDLE_TIMEOUT_SHARE;
        double timeoutMicros = settings.shortestObjectiveMicros() * shareOfObjective;
        long newTimeoutMicros = closing ? Math.min(clientTimeoutMicros, (long) timeoutMicros) : 0;
        if (newTimeoutMicros != reportedTimeoutMicros) {
            reportedTimeoutMicros = newTimeoutMicros;
            actions.setIdleTimeout(newTimeoutMicros);
        }
    }

    private boolean shouldClose(ClientSettings clients, double idleConnections) {
        if (Double.isNaN(idleConnections) || gauges.isStuck()) {
            return false;
        }
        double gapMicros = clients.clientCount()
                * DecisionClock.TICK_MICROS
                / Math.max(arrivalRate.meanPerTick(), MIN_ARRIVALS_PER_TICK);
        double savedOpenCost = Math.min(1, clients.idleTimeoutMicros() / gapMicros) * clients.connectionOpenCost();
        boolean costly = idleConnections / CONNECTIONS_PER_COST * clients.idleConnectionsCost() > savedOpenCost;
        boolean infrequent =
                gapMicros > clients.idleTimeoutMicros() * INFREQUENT_GAP_SHARE * (closing ? HYSTERESIS_FACTOR : 1);
        return infrequent && (closing || idleConnections > settings.coreCount()) || costly;
    }
}
