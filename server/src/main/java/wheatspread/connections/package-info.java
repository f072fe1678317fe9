/**
 * Enforces the limits for the connections of a front: admission, time limits, eviction and memory for partial
 * messages. The package owns the state of each connection and the counters. It does not depend on sockets,
 * clocks or the contents of messages.
 */
package wheatspread.connections;
