package wheatspread.membership;

import java.util.List;

/**
 * What one member sends to another.
 *
 * @param from who sends it
 * @param view the sender's view
 * @param stands whether the sender is in it and thinks that a quorum of it is
 * @param digest of all that the sender knows about that view
 * @param news about that view
 */
public record Message(MemberId from, ViewId view, boolean stands, long digest, Body body, List<GossipUpdate> news) {
    /** What it is about, besides the news. */
    public sealed interface Body {
        /** Asks {@code to}, and no other process at its address, for an {@link Ack}. */
        record Ping(long number, MemberId to) implements Body {}

        /** The answer; {@code number} is the asker's. */
        record Ack(long number) implements Body {}

        /** Asks a helper to ping a member and to say what came of it. */
        record AskAround(long number, MemberId to, String address) implements Body {}

        /** The helper has heard nothing either. */
        record Nack(long number) implements Body {}

        /** News alone. */
        record Gossip() implements Body {}

        /** Asks for the view. */
        record WhichView() implements Body {}

        /** The view, whole. */
        record ViewIs(View view) implements Body {}

        /** Wants to join. */
        record Knock(Member member) implements Body {}

        /** A seed wants to found that epoch; {@code ordered} by an operator. */
        record Found(long epoch, boolean ordered) implements Body {}

        /** The sender will go by the first view of that epoch. */
        record Consent(long epoch, Member member) implements Body {}
    }
}
