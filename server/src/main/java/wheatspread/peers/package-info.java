/**
 * Transport of membership messages between servers: the message format, the sockets and the timer that drives
 * {@link wheatspread.membership.Membership}.
 *
 * <p>This package owns the message format (a CRC-32C and a protobuf envelope, {@code peers.proto}), the bounds of each
 * field that a peer may send, the UDP socket, the TCP streams for large messages, the limit on inbound messages and the
 * counters. It must not depend on how failures are detected or views agreed, which {@code wheatspread.membership} does;
 * that package in turn uses no sockets and no clock. All code of this package runs on one event loop.
 */
package wheatspread.peers;
