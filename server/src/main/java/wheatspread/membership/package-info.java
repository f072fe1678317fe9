/**
 * Cluster membership: one agreed, numbered list of members (a view) on every server.
 *
 * <p>This package owns failure detection, gossip, joining, cluster bootstrap and the agreement on the next view. It
 * does no I/O, reads no clock and creates no random source: callers pass in messages, the time and a random generator,
 * and receive messages and views, so that a run on virtual time can be repeated from its seed. It must not depend on
 * sockets, encoded bytes, settings files or the use that servers make of a view. All times are microseconds of one
 * monotonic clock.
 *
 * <p>The protocols are: probes, indirect probes and gossip after SWIM (A. Das and others, 2002); local health and
 * suspicion timeouts after Lifeguard (A. Dadgar and others, 2018); observers, watermarks and multi-process cut
 * detection after Rapid (L. Suresh and others, 2018); agreement by Fast Paxos (L. Lamport, 2006); observers chosen by
 * rendezvous hashing. See {@code docs/design/membership.md}.
 */
package wheatspread.membership;
