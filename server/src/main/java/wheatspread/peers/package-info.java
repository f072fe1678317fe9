/**
 * Carries membership messages between servers: their bytes, their sockets and the timer that drives
 * {@link wheatspread.membership.Membership}.
 *
 * <p>Owns the message format (a CRC-32C and a protobuf envelope, {@code peers.proto}), the bounds of every field that a
 * peer may send, the UDP socket, the TCP streams for large messages, the limit on inbound messages and the counters.
 * It must not know how failures are detected or views agreed: that is {@code wheatspread.membership}, which in turn
 * knows no socket and no clock. All of it runs on one event loop.
 */
package wheatspread.peers;
