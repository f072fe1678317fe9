package wheatspread.admission.sfq;

import wheatspread.admission.AdmissionController.Actions;
import wheatspread.admission.ClientSettings;
import wheatspread.admission.LoadGauges;

/**
 * When idle connections are closed early. Open connections take core time, and past the server's capacity for them
 * clients get none. Where clients come back only after a good part of their idle timeout, or where keeping idle
 * connections costs more than the openings it saves, connections are closed after a share of the shortest latency
 * objective: long for a burst, short beside the time to the client's next request. While requests are read late the
 * timeout is a whole objective, since openings take core time too. Without a usable gauge clients close connections
 * themselves. Assumes that clients send about equally often.
 */
final class IdleConnectionPolicy {
    /** Mean time between a client's requests, as a share of its idle timeout, above which it counts as silent. */
    private static final double SILENT_GAP_SHARE = 0.2;
    /** Factor on that share while connections are closed early: the hysteresis. */
    private static final double HYSTERESIS_FACTOR = 0.5;
    /** Idle timeout, as a share of the shortest latency objective. */
    private static final double IDLE_TIMEOUT_SHARE = 0.1;
    /** Part of the clients' idle timeout after the start before connections are closed early. */
    private static final int START_DELAY_DIVISOR = 10;
    /** The configured cost of idle connections is that of this many. */
    private static final double CONNECTIONS_PER_COST = 100;
    /** Keeps the gap finite where nothing arrives. */
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
        closing = shouldClose(clients, reading.openConnections() - inFlight.started() - inFlight.held());
        double shareOfObjective = overload.isReadDelayElevated() ? 1 : IDLE_TIMEOUT_SHARE;
        double timeoutMicros = settings.shortestObjectiveMicros() * shareOfObjective;
        long wantedMicros = closing ? Math.min(clientTimeoutMicros, (long) timeoutMicros) : 0;
        if (wantedMicros != reportedTimeoutMicros) {
            reportedTimeoutMicros = wantedMicros;
            actions.setIdleTimeout(wantedMicros);
        }
    }

    private boolean shouldClose(ClientSettings clients, double idleConnections) {
        if (Double.isNaN(idleConnections) || gauges.isStuck()) {
            return false;
        }
        double gapMicros = clients.count()
                * DecisionClock.TICK_MICROS
                / Math.max(arrivalRate.meanPerTick(), MIN_ARRIVALS_PER_TICK);
        double savedCost = Math.min(1, clients.idleTimeoutMicros() / gapMicros) * clients.connectionOpenCost();
        boolean costly = idleConnections / CONNECTIONS_PER_COST * clients.idleConnectionsCost() > savedCost;
        boolean silent = gapMicros > clients.idleTimeoutMicros() * SILENT_GAP_SHARE * (closing ? HYSTERESIS_FACTOR : 1);
        return silent && (closing || idleConnections > settings.cores()) || costly;
    }
}
