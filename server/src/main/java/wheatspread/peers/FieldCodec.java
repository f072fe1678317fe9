package wheatspread.peers;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import wheatspread.membership.Member;
import wheatspread.membership.MemberId;
import wheatspread.membership.View;
import wheatspread.membership.ViewChange;
import wheatspread.membership.ViewId;

/**
 * Encodes and decodes the values that several kinds of messages share. Each decoded value is checked against its
 * bounds, so that membership receives only values that a server can send.
 */
final class FieldCodec {
    /** The maximum number of characters of a name, a zone or a build. */
    private static final int MAX_TEXT_CHARS = 128;
    /** The maximum of epochs, view numbers, incarnations and ballots. */
    private static final long MAX_NUMBER = 1L << 53;

    private static final int MAX_COUNTER = 1 << 30;

    private FieldCodec() {}

    static Format.Id encodeMemberId(MemberId id) {
        return Format.Id.newBuilder()
                .setName(id.name())
                .setStart(id.incarnation())
                .build();
    }

    static MemberId decodeMemberId(Format.Id field) throws MalformedMessageException {
        if (field.getName().isEmpty()) {
            throw MalformedMessageException.invalid("name", "");
        }
        return new MemberId(decodeText(field.getName()), checkRange(field.getStart(), 0, MAX_NUMBER, "start"));
    }

    static Format.Person encodeMember(Member member) {
        return Format.Person.newBuilder()
                .setId(encodeMemberId(member.id()))
                .setAddress(member.address())
                .setZone(member.zone())
                .setBuild(member.build())
                .setConfig(member.config())
                .build();
    }

    static Member decodeMember(Format.Person field) throws MalformedMessageException {
        return new Member(
                decodeMemberId(field.getId()),
                decodeAddress(field.getAddress()),
                decodeText(field.getZone()),
                decodeText(field.getBuild()),
                field.getConfig());
    }

    static Format.ViewNumber encodeViewId(ViewId id) {
        return Format.ViewNumber.newBuilder()
                .setEpoch(id.epoch())
                .setNumber(id.number())
                .build();
    }

    static ViewId decodeViewId(Format.ViewNumber field) throws MalformedMessageException {
        return new ViewId(
                checkRange(field.getEpoch(), 0, MAX_NUMBER, "epoch"),
                checkRange(field.getNumber(), 0, MAX_NUMBER, "view number"));
    }

    static Format.Fleet encodeView(View view) {
        Format.Fleet.Builder field = Format.Fleet.newBuilder().setId(encodeViewId(view.id()));
        view.members().forEach(member -> field.addMembers(encodeMember(member)));
        return field.build();
    }

    static View decodeView(Format.Fleet field) throws MalformedMessageException {
        checkRange(field.getMembersCount(), 1, MessageCodec.MAX_MEMBERS, "member count");
        ViewId id = decodeViewId(field.getId());
        checkRange(id.number(), 1, MAX_NUMBER, "view number");
        List<Member> members = new ArrayList<>();
        for (Format.Person member : field.getMembersList()) {
            members.add(decodeMember(member));
        }
        try {
            return new View(id, members);
        } catch (IllegalArgumentException e) {
            throw MalformedMessageException.invalid("members", e.getMessage());
        }
    }

    static Format.Step encodeChange(ViewChange change) {
        Format.Step.Builder field = Format.Step.newBuilder();
        change.removed().forEach(id -> field.addOut(encodeMemberId(id)));
        change.added().forEach(member -> field.addIn(encodeMember(member)));
        return field.build();
    }

    static ViewChange decodeChange(Format.Step field) throws MalformedMessageException {
        checkRange(field.getOutCount() + field.getInCount(), 1, 2 * MessageCodec.MAX_MEMBERS, "members in a change");
        List<MemberId> out = new ArrayList<>();
        for (Format.Id id : field.getOutList()) {
            out.add(decodeMemberId(id));
        }
        List<Member> in = new ArrayList<>();
        for (Format.Person member : field.getInList()) {
            in.add(decodeMember(member));
        }
        return ViewChange.of(out, in);
    }

    static ByteString encodeVoters(BitSet voters) {
        return ByteString.copyFrom(voters.toByteArray());
    }

    static BitSet decodeVoters(ByteString field) throws MalformedMessageException {
        checkRange(field.size(), 0, MessageCodec.MAX_MEMBERS / Byte.SIZE, "bytes of voters");
        return BitSet.valueOf(field.toByteArray());
    }

    /** Accepts only IPv4 addresses with a port, since resolving a host name would block the event loop. */
    static String decodeAddress(String field) throws MalformedMessageException {
        if (!PeerAddress.isValid(field)) {
            throw MalformedMessageException.invalid("address", field);
        }
        return field;
    }

    static int decodeMemberIndex(int field) throws MalformedMessageException {
        return (int) checkRange(field, 0, MessageCodec.MAX_MEMBERS - 1, "member");
    }

    static int decodeObserverIndex(int field) throws MalformedMessageException {
        return (int) checkRange(field, 0, View.OBSERVERS_PER_SUBJECT - 1, "observer index");
    }

    static int decodeCounter(int field) throws MalformedMessageException {
        return (int) checkRange(field, 0, MAX_COUNTER, "counter");
    }

    static long decodeBallot(long field) throws MalformedMessageException {
        return checkRange(field, 1, MAX_NUMBER, "ballot");
    }

    static long checkRange(long value, long min, long max, String field) throws MalformedMessageException {
        if (value < min || value > max) {
            throw MalformedMessageException.invalid(field, value);
        }
        return value;
    }

    private static String decodeText(String field) throws MalformedMessageException {
        checkRange(field.length(), 0, MAX_TEXT_CHARS, "text length");
        return field;
    }
}
