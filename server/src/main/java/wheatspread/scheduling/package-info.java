/**
 * The order and the amount of reading in an event-loop iteration, and the limit for bursts of reconnecting
 * callers. It owns the queues of readable connections and the burst window. It does not know sockets, clocks,
 * protocols or what becomes of a request.
 */
package wheatspread.scheduling;
