package wheatspread.membership;

import java.util.List;

/**
 * A message from one member to another.
 *
 * @param from who sends it
 * @param view the view that the sender holds, {@link ViewId#NONE} before its first
 * @param quorumReachable whether the sender is in that view and appears to reach a quorum of it
 * @param digest of all that the sender knows about that view; two members with different digests synchronize
 * @param body what the message is for
 * @param updates gossip about that view, which any message may carry
 */
public record Message(
        MemberId from, ViewId view, boolean quorumReachable, long digest, Body body, List<GossipUpdate> updates) {
    /** The purpose of a message, besides the gossip that it carries. */
    public sealed interface Body {
        /** Calls the method of the visitor for this kind of body. */
        <R> R accept(Visitor<R> visitor);

        /** One method for each kind of body, so that a new kind does not compile until all handle it. */
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

        /** A probe of {@code target}, and of no other process at its address; answered by an {@link Ack}. */
        record Ping(long number, MemberId target) implements Body {
            @Override
            public <R> R accept(Visitor<R> visitor) {
                return visitor.visitPing(this);
            }
        }

        /** The answer to a {@link Ping} or, through a helper, to an {@link IndirectPing} of that number. */
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

        /** The helper had no answer to the {@link IndirectPing} of that number either (Lifeguard's nack). */
        record Nack(long number) implements Body {
            @Override
            public <R> R accept(Visitor<R> visitor) {
                return visitor.visitNack(this);
            }
        }

        /** Nothing besides the gossip that the message carries. */
        record Gossip() implements Body {
            @Override
            public <R> R accept(Visitor<R> visitor) {
                return visitor.visitGossip(this);
            }
        }

        /** Asks for the receiver's view. */
        record ViewRequest() implements Body {
            @Override
            public <R> R accept(Visitor<R> visitor) {
                return visitor.visitViewRequest(this);
            }
        }

        /** The sender's complete view. */
        record ViewResponse(View view) implements Body {
            @Override
            public <R> R accept(Visitor<R> visitor) {
                return visitor.visitViewResponse(this);
            }
        }

        /** {@code member} asks to join the cluster. */
        record JoinRequest(Member member) implements Body {
            @Override
            public <R> R accept(Visitor<R> visitor) {
                return visitor.visitJoinRequest(this);
            }
        }

        /** A seed asks for consent to form a cluster of that epoch; {@code operatorOrdered} where one ordered it. */
        record BootstrapRequest(long epoch, boolean operatorOrdered) implements Body {
            @Override
            public <R> R accept(Visitor<R> visitor) {
                return visitor.visitBootstrapRequest(this);
            }
        }

        /** The sender, {@code member}, consents to be in the first view of that epoch. */
        record BootstrapConsent(long epoch, Member member) implements Body {
            @Override
            public <R> R accept(Visitor<R> visitor) {
                return visitor.visitBootstrapConsent(this);
            }
        }
    }
}
