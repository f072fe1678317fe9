/**
 * Schedules the reads of an event-loop iteration and limits bursts of requests from reconnecting clients. The
 * package owns the queues of readable connections and the burst window. It does not depend on sockets, clocks,
 * protocols or the processing of requests.
 */
package wheatspread.scheduling;
