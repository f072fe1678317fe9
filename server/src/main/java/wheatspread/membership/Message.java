package wheatspread.membership;

import java.util.List;

/**
 * A message from one member to another.
 *
 * @param from the identity of the sender
 * @param view the number of the sender's view; {@link ViewId#NONE} before the sender has a view
 * @param quorumReachable whether the sender is in that view and appears to reach a quorum of it
 * @param digest a digest of the reports and votes that the sender knows for that view; two members with different
 *     digests synchronize
 * @param body the purpose of the message and its parameters
 * @param updates gossip updates about that view, which a message of any kind may carry
 */
public record Message(
        MemberId from, ViewId view, boolean quorumReachable, long digest, Body body, List<GossipUpdate> updates) {
    /** The purpose of a message, apart from the gossip updates that it carries. */
    public sealed interface Body {
        /** Calls the method of the visitor for this kind of body. */
        <R> R accept(Visitor<R> visitor);

        /** Has one method for each kind of body, so that every visitor must handle a new kind to compile. */
        interface Visitor<R> {
            R visitPing(Ping body);

            R visitAck(Ack body);

            R visitIndirectPing(IndirectPing body);

            R visitNack(Nack body);

            R visitGossip(Gossip body);

            R visitViewRequest(ViewRequest body);

            R visitViewResponse(ViewResponse body);

            R visitJoinRequest(JoinRequest body);

            R visitBootstrapRequest(BootstrapRequest body);

            R visitBootstrapConsent(BootstrapConsent body);
        }

        /** Probes {@code target}; only that incarnation answers, with an {@link Ack}. */
        record Ping(long number, MemberId target) implements Body {
            @Override
            public <R> R accept(Visitor<R> visitor) {
                return visitor.visitPing(this);
            }
        }

        /** Answers the {@link Ping} of that number or, through a helper, the {@link IndirectPing} of that number. */
        record Ack(long number) implements Body {
            @Override
            public <R> R accept(Visitor<R> visitor) {
                return visitor.visitAck(this);
            }
        }

        /** Asks a helper to probe {@code target} at {@code address} and to report the result (SWIM's ping-req). */
        record IndirectPing(long number, MemberId target, String address) implements Body {
            @Override
            public <R> R accept(Visitor<R> visitor) {
                return visitor.visitIndirectPing(this);
            }
        }

        /** Reports that the helper's probe for the {@link IndirectPing} of that number timed out (Lifeguard's nack). */
        record Nack(long number) implements Body {
            @Override
            public <R> R accept(Visitor<R> visitor) {
                return visitor.visitNack(this);
            }
        }

        /** Has no content; the message only carries gossip updates. */
        record Gossip() implements Body {
            @Override
            public <R> R accept(Visitor<R> visitor) {
                return visitor.visitGossip(this);
            }
        }

        /** Requests the receiver's view. */
        record ViewRequest() implements Body {
            @Override
            public <R> R accept(Visitor<R> visitor) {
                return visitor.visitViewRequest(this);
            }
        }

        /** Contains the sender's complete view. */
        record ViewResponse(View view) implements Body {
            @Override
            public <R> R accept(Visitor<R> visitor) {
                return visitor.visitViewResponse(this);
            }
        }

        /** Requests that {@code member} join the cluster. */
        record JoinRequest(Member member) implements Body {
            @Override
            public <R> R accept(Visitor<R> visitor) {
                return visitor.visitJoinRequest(this);
            }
        }

        /**
         * Requests consent to form a cluster of that epoch.
         *
         * @param operatorOrdered whether an operator ordered the new cluster
         */
        record BootstrapRequest(long epoch, boolean operatorOrdered) implements Body {
            @Override
            public <R> R accept(Visitor<R> visitor) {
                return visitor.visitBootstrapRequest(this);
            }
        }

        /** Gives the consent of the sender, {@code member}, to be in the first view of that epoch. */
        record BootstrapConsent(long epoch, Member member) implements Body {
            @Override
            public <R> R accept(Visitor<R> visitor) {
                return visitor.visitBootstrapConsent(this);
            }
        }
    }
}
