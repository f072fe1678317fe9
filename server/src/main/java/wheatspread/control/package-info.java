/**
 * The operators' HTTP endpoint: readiness, metrics, and calls that other parts of the server add.
 *
 * <p>Purpose: {@link wheatspread.control.ControlFront} accepts connections on a separate listener,
 * {@code ControlEndpoints} answers the requests, and {@link wheatspread.control.MetricsPage} formats the metrics.
 *
 * <p>Owns: the paths and the metric names, which operators' tools depend on.
 *
 * <p>Does not depend on how a server starts, serves or stops; the server passes the values to show.
 */
package wheatspread.control;
