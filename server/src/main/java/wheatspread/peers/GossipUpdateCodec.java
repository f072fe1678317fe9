package wheatspread.peers;

import java.util.BitSet;
import wheatspread.membership.GossipUpdate;
import wheatspread.membership.ViewAgreement;
import wheatspread.membership.ViewChange;

/** Encodes and decodes gossip updates in their protobuf form, {@code Piece}. */
final class GossipUpdateCodec {
    /**
     * Leaves the ballot field unset: votes of the fast round do not carry their ballot, which is always {@link
     * ViewAgreement#FAST_BALLOT}.
     */
    private static final long OMITTED_BALLOT = 0;

    private static final Encoder ENCODER = new Encoder();

    private GossipUpdateCodec() {}

    static Format.Piece encode(GossipUpdate update) {
        return update.accept(ENCODER).build();
    }

    /** Decodes an update; returns null for an unknown kind of a later minor version, which the caller skips. */
    static GossipUpdate decode(Format.Piece field) throws MalformedMessageException {
        return switch (field.getWhatCase()) {
            case REPORT -> decodeReport(field.getReport());
            case SUSPICION -> decodeSuspicion(field.getSuspicion());
            case LEAVING -> new GossipUpdate.Leaving(FieldCodec.decodeMemberIndex(field.getLeaving()));
            case JOINING -> new GossipUpdate.Joining(FieldCodec.decodeMember(field.getJoining()));
            case HEARD -> decodeJoinerReachable(field.getHeard());
            case FAST_VOTES -> decodeFastVotes(field.getFastVotes());
            case PREPARE -> new GossipUpdate.Prepare(FieldCodec.decodeBallot(field.getPrepare()));
            case PROMISED -> decodePromised(field.getPromised());
            case ACCEPTED -> decodeAccepted(field.getAccepted());
            default -> null;
        };
    }

    private static GossipUpdate decodeReport(Format.Edge field) throws MalformedMessageException {
        return new GossipUpdate.Report(
                FieldCodec.decodeMemberIndex(field.getMember()),
                FieldCodec.decodeObserverIndex(field.getSlot()),
                FieldCodec.decodeCounter(field.getCounter()));
    }

    private static GossipUpdate decodeSuspicion(Format.Edge field) throws MalformedMessageException {
        return new GossipUpdate.Suspicion(
                FieldCodec.decodeMemberIndex(field.getMember()),
                FieldCodec.decodeObserverIndex(field.getSlot()),
                FieldCodec.decodeCounter(field.getCounter()));
    }

    private static GossipUpdate decodeJoinerReachable(Format.Heard field) throws MalformedMessageException {
        return new GossipUpdate.JoinerReachable(
                FieldCodec.decodeMemberId(field.getJoiner()),
                FieldCodec.decodeObserverIndex(field.getSlot()),
                FieldCodec.decodeCounter(field.getCounter()));
    }

    private static GossipUpdate decodeFastVotes(Format.Votes field) throws MalformedMessageException {
        return new GossipUpdate.FastVotes(
                FieldCodec.decodeChange(field.getChange()), FieldCodec.decodeVoters(field.getVoters()));
    }

    private static GossipUpdate decodePromised(Format.Promised field) throws MalformedMessageException {
        boolean voted = field.hasVoted();
        if (voted != field.getVotedIn() >= ViewAgreement.FAST_BALLOT) {
            throw MalformedMessageException.invalid(
                    "voted_in", "either the vote or its ballot is missing, expected both or neither");
        }
        return new GossipUpdate.Promised(
                FieldCodec.decodeBallot(field.getBallot()),
                FieldCodec.decodeMemberIndex(field.getMember()),
                new ViewAgreement.Promise(
                        FieldCodec.checkRange(
                                field.getVotedIn(), ViewAgreement.NOT_VOTED, field.getBallot() - 1, "voted_in"),
                        voted ? FieldCodec.decodeChange(field.getVoted()) : null));
    }

    private static GossipUpdate decodeAccepted(Format.Votes field) throws MalformedMessageException {
        return new GossipUpdate.Accepted(
                FieldCodec.decodeBallot(field.getBallot()),
                FieldCodec.decodeChange(field.getChange()),
                FieldCodec.decodeVoters(field.getVoters()));
    }

    /** Builds a {@code Piece} with the field for the kind of update. */
    private static final class Encoder implements GossipUpdate.Visitor<Format.Piece.Builder> {
        @Override
        public Format.Piece.Builder visitReport(GossipUpdate.Report update) {
            return Format.Piece.newBuilder()
                    .setReport(edge(update.subject(), update.observerIndex(), update.counter()));
        }

        @Override
        public Format.Piece.Builder visitSuspicion(GossipUpdate.Suspicion update) {
            return Format.Piece.newBuilder()
                    .setSuspicion(edge(update.subject(), update.observerIndex(), update.counter()));
        }

        @Override
        public Format.Piece.Builder visitLeaving(GossipUpdate.Leaving update) {
            return Format.Piece.newBuilder().setLeaving(update.member());
        }

        @Override
        public Format.Piece.Builder visitJoining(GossipUpdate.Joining update) {
            return Format.Piece.newBuilder().setJoining(FieldCodec.encodeMember(update.member()));
        }

        @Override
        public Format.Piece.Builder visitJoinerReachable(GossipUpdate.JoinerReachable update) {
            return Format.Piece.newBuilder()
                    .setHeard(Format.Heard.newBuilder()
                            .setJoiner(FieldCodec.encodeMemberId(update.joiner()))
                            .setSlot(update.observerIndex())
                            .setCounter(update.counter()));
        }

        @Override
        public Format.Piece.Builder visitFastVotes(GossipUpdate.FastVotes update) {
            return Format.Piece.newBuilder().setFastVotes(votes(OMITTED_BALLOT, update.change(), update.voters()));
        }

        @Override
        public Format.Piece.Builder visitPrepare(GossipUpdate.Prepare update) {
            return Format.Piece.newBuilder().setPrepare(update.ballot());
        }

        @Override
        public Format.Piece.Builder visitPromised(GossipUpdate.Promised update) {
            Format.Promised.Builder field = Format.Promised.newBuilder()
                    .setBallot(update.ballot())
                    .setMember(update.member())
                    .setVotedIn(update.promise().votedBallot());
            if (update.promise().votedChange() != null) {
                field.setVoted(FieldCodec.encodeChange(update.promise().votedChange()));
            }
            return Format.Piece.newBuilder().setPromised(field);
        }

        @Override
        public Format.Piece.Builder visitAccepted(GossipUpdate.Accepted update) {
            return Format.Piece.newBuilder().setAccepted(votes(update.ballot(), update.change(), update.voters()));
        }

        private static Format.Edge edge(int subject, int observerIndex, int counter) {
            return Format.Edge.newBuilder()
                    .setMember(subject)
                    .setSlot(observerIndex)
                    .setCounter(counter)
                    .build();
        }

        private static Format.Votes votes(long ballot, ViewChange change, BitSet voters) {
            return Format.Votes.newBuilder()
                    .setBallot(ballot)
                    .setChange(FieldCodec.encodeChange(change))
                    .setVoters(FieldCodec.encodeVoters(voters))
                    .build();
        }
    }
}
