/**
 * The limits for the connections of a front: admission, time limits, eviction and memory for partial
 * messages. It owns the state of each connection and the counters. It does not know sockets, clocks or what
 * a message contains.
 */
package wheatspread.connections;
