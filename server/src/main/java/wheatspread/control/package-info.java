/**
 * The operators' HTTP endpoint: readiness, metrics, and calls that other parts of the server add.
 *
 * <p>Job: {@link wheatspread.control.ControlFront} accepts connections on a listener of its own,
 * {@code ControlEndpoints} answers a request, and {@link wheatspread.control.MetricsPage} writes the metrics.
 *
 * <p>Owns: the paths and the metric names, which operators' tools depend on.
 *
 * <p>Must not know: how a server starts, serves or stops; it is given what it shows.
 */
package wheatspread.control;
