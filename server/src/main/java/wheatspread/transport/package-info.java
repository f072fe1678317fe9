/**
 * Sockets and the event loop: listening sockets, the channels of clients, the order of work in an event-loop
 * iteration, and the choice between NIO and epoll. The package owns the channels and their buffers. It does
 * not depend on any protocol or on admission decisions. The connection table decides about limits, and the
 * read scheduler about the order of reads.
 */
package wheatspread.transport;
