/**
 * The decisions of a fleet supervisor: which instance is started, drained or killed, and when.
 *
 * <p>Purpose: {@link wheatspread.fleet.FleetController} turns health checks, process exits and operators'
 * commands into {@link wheatspread.fleet.InstanceAction}s. It combines three parts: {@link
 * wheatspread.fleet.InstanceTable} (the state of each instance), {@link wheatspread.fleet.RestartBackoff} (when an
 * instance that exited may be restarted) and {@link wheatspread.fleet.Rollout} (the replacement of one build by
 * another).
 *
 * <p>Owns: the state of the fleet, which {@link wheatspread.fleet.FleetState} records for the next supervisor.
 *
 * <p>Does not depend on clocks, files, processes, sockets or JSON. Every call receives the time in Unix microseconds,
 * and {@code wheatspread.supervisor} carries out the actions. One thread makes all calls.
 */
package wheatspread.fleet;
