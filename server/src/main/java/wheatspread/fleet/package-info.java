/**
 * The decisions of a fleet supervisor: which instance is started, drained or killed, and when.
 *
 * <p>Job: {@link wheatspread.fleet.FleetController} turns health checks, process exits and operators' commands into
 * {@link wheatspread.fleet.InstanceAction}s. It combines three parts: {@link wheatspread.fleet.InstanceTable} (the
 * state of each instance), {@link wheatspread.fleet.RestartBackoff} (when one that exited may start again) and
 * {@link wheatspread.fleet.Rollout} (the replacement of one build by another).
 *
 * <p>Owns: the state of the fleet, as {@link wheatspread.fleet.FleetState} records it for the next supervisor.
 *
 * <p>Must not know: clocks, files, processes, sockets or JSON. Every call gets the time, in Unix microseconds, and
 * {@code wheatspread.supervisor} carries the actions out. One thread makes all calls.
 */
package wheatspread.fleet;
