/**
 * Cluster membership: one agreed, numbered list of members (a view) on every server.
 *
 * <p>Owns failure detection, gossip, joining, cluster bootstrap and the agreement on the next view. It does no I/O,
 * reads no clock and holds no random source of its own: messages and the time are passed in, messages and views come
 * out, so that a run on virtual time can be repeated from its seed. It must not know sockets, bytes, settings files or
 * what the servers do with a view. All times are microseconds of one monotonic clock.
 *
 * <p>Protocols: probes, indirect probes and gossip after SWIM (A. Das and others, 2002); local health and suspicion
 * timeouts after Lifeguard (A. Dadgar and others, 2018); observers, watermarks and multi-process cut detection after
 * Rapid (L. Suresh and others, 2018); agreement by Fast Paxos (L. Lamport, 2006); observers chosen by rendezvous
 * hashing. See {@code docs/design/membership.md}.
 */
package wheatspread.membership;
