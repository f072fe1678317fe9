package wheatspread.peers;

import wheatspread.membership.Message.Body;

/** Encodes and decodes message bodies in the {@code body} field of an {@code Envelope}. */
final class BodyCodec {
    private BodyCodec() {}

    static void encode(Body body, Format.Envelope.Builder envelope) {
        body.accept(new Encoder(envelope));
    }

    /** Decodes a body; an unknown kind of a later minor version is treated as {@link Body.Gossip}. */
    static Body decode(Format.Envelope envelope) throws MalformedMessageException {
        return switch (envelope.getBodyCase()) {
            case PING -> decodePing(envelope.getPing());
            case ACK -> new Body.Ack(envelope.getAck());
            case AROUND -> decodeIndirectPing(envelope.getAround());
            case NACK -> new Body.Nack(envelope.getNack());
            case WHICH_VIEW -> new Body.ViewRequest();
            case VIEW_IS -> new Body.ViewResponse(FieldCodec.decodeView(envelope.getViewIs()));
            case KNOCK -> new Body.JoinRequest(FieldCodec.decodeMember(envelope.getKnock()));
            case FOUND -> decodeBootstrapRequest(envelope.getFound());
            case CONSENT -> decodeBootstrapConsent(envelope.getConsent());
            default -> new Body.Gossip();
        };
    }

    private static Body decodePing(Format.Ping field) throws MalformedMessageException {
        return new Body.Ping(field.getNumber(), FieldCodec.decodeMemberId(field.getTo()));
    }

    private static Body decodeIndirectPing(Format.Around field) throws MalformedMessageException {
        return new Body.IndirectPing(
                field.getNumber(),
                FieldCodec.decodeMemberId(field.getTo()),
                FieldCodec.decodeAddress(field.getAddress()));
    }

    private static Body decodeBootstrapRequest(Format.Found field) throws MalformedMessageException {
        long epoch = FieldCodec.checkRange(field.getEpoch(), 1, Long.MAX_VALUE, "epoch");
        return new Body.BootstrapRequest(epoch, field.getOrdered());
    }

    private static Body decodeBootstrapConsent(Format.Consent field) throws MalformedMessageException {
        return new Body.BootstrapConsent(field.getEpoch(), FieldCodec.decodeMember(field.getMember()));
    }

    /** Sets the field for the kind of body. */
    private static final class Encoder implements Body.Visitor<Format.Envelope.Builder> {
        private final Format.Envelope.Builder envelope;

        Encoder(Format.Envelope.Builder envelope) {
            this.envelope = envelope;
        }

        @Override
        public Format.Envelope.Builder visitPing(Body.Ping body) {
            return envelope.setPing(
                    Format.Ping.newBuilder().setNumber(body.number()).setTo(FieldCodec.encodeMemberId(body.target())));
        }

        @Override
        public Format.Envelope.Builder visitAck(Body.Ack body) {
            return envelope.setAck(body.number());
        }

        @Override
        public Format.Envelope.Builder visitIndirectPing(Body.IndirectPing body) {
            return envelope.setAround(Format.Around.newBuilder()
                    .setNumber(body.number())
                    .setTo(FieldCodec.encodeMemberId(body.target()))
                    .setAddress(body.address()));
        }

        @Override
        public Format.Envelope.Builder visitNack(Body.Nack body) {
            return envelope.setNack(body.number());
        }

        @Override
        public Format.Envelope.Builder visitGossip(Body.Gossip body) {
            return envelope.setGossip(true);
        }

        @Override
        public Format.Envelope.Builder visitViewRequest(Body.ViewRequest body) {
            return envelope.setWhichView(true);
        }

        @Override
        public Format.Envelope.Builder visitViewResponse(Body.ViewResponse body) {
            return envelope.setViewIs(FieldCodec.encodeView(body.view()));
        }

        @Override
        public Format.Envelope.Builder visitJoinRequest(Body.JoinRequest body) {
            return envelope.setKnock(FieldCodec.encodeMember(body.member()));
        }

        @Override
        public Format.Envelope.Builder visitBootstrapRequest(Body.BootstrapRequest body) {
            return envelope.setFound(
                    Format.Found.newBuilder().setEpoch(body.epoch()).setOrdered(body.operatorOrdered()));
        }

        @Override
        public Format.Envelope.Builder visitBootstrapConsent(Body.BootstrapConsent body) {
            return envelope.setConsent(Format.Consent.newBuilder()
                    .setEpoch(body.epoch())
                    .setMember(FieldCodec.encodeMember(body.member())));
        }
    }
}
