/**
 * Sockets and the event loop: listening sockets, the channels of callers, the order of work in an event-loop
 * iteration, and the choice between NIO and epoll. It owns the channels and their buffers. It does not know
 * any protocol, nor how requests are decided on; limits and read order are decided by the connection table
 * and the read scheduler.
 */
package wheatspread.transport;
