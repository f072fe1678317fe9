package wheatspread.peers;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.zip.CRC32C;
import wheatspread.membership.GossipUpdate;
import wheatspread.membership.Member;
import wheatspread.membership.MemberId;
import wheatspread.membership.Message;
import wheatspread.membership.Message.Body;
import wheatspread.membership.View;
import wheatspread.membership.ViewAgreement;
import wheatspread.membership.ViewChange;
import wheatspread.membership.ViewId;

/**
 * Messages as bytes and back: a CRC-32C of four bytes, then an {@code Envelope}. What is read is checked
 * against bounds here, so that whatever a peer sends, membership meets only what a server could have said.
 */
public final class MessageCodec {
    /** Counts up where older programs could not read what is said; they drop it then. */
    public static final int MAJOR = 1;

    public static final int MINOR = 0;
    /** The largest fleet. */
    public static final int MOST_MEMBERS = 4_096;

    private static final int MOST_TEXT = 128;
    private static final int MOST_NEWS = 1 << 16;
    private static final long MOST_NUMBER = 1L << 53;
    private static final int MOST_COUNTER = 1 << 30;

    private final String cluster;
    private final String address;

    /** A message with the address to which answers go. */
    public record Received(String address, Message message) {}

    /** {@code address} is this server's own. */
    public MessageCodec(String cluster, String address) {
        this.cluster = cluster;
        this.address = address;
    }

    // ---- to bytes ----

    public byte[] encode(Message message) {
        Format.Envelope.Builder to = Format.Envelope.newBuilder()
                .setMajor(MAJOR)
                .setMinor(MINOR)
                .setCluster(cluster)
                .setFrom(id(message.from()))
                .setAddress(address)
                .setView(number(message.view()))
                .setStands(message.stands())
                .setDigest(message.digest());
        message.news().forEach(one -> to.addNews(piece(one)));
        body(to, message.body());
        return seal(to.build().toByteArray());
    }

    /** With the checksum before it, its highest byte first. */
    static byte[] seal(byte[] envelope) {
        return ByteBuffer.allocate(Integer.BYTES + envelope.length)
                .putInt(checksum(envelope, 0))
                .put(envelope)
                .array();
    }

    /** The datagram's own checksum has 16 bits, may be absent, and ends at the first relay. */
    private static int checksum(byte[] bytes, int from) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, from, bytes.length - from);
        return (int) sum.getValue();
    }

    private static void body(Format.Envelope.Builder to, Body body) {
        if (body instanceof Body.Ping one) {
            to.setPing(Format.Ping.newBuilder().setNumber(one.number()).setTo(id(one.to())));
        } else if (body instanceof Body.Ack one) {
            to.setAck(one.number());
        } else if (body instanceof Body.AskAround one) {
            to.setAround(Format.Around.newBuilder()
                    .setNumber(one.number())
                    .setTo(id(one.to()))
                    .setAddress(one.address()));
        } else if (body instanceof Body.Nack one) {
            to.setNack(one.number());
        } else if (body instanceof Body.Gossip) {
            to.setGossip(true);
        } else if (body instanceof Body.WhichView) {
            to.setWhichView(true);
        } else if (body instanceof Body.ViewIs one) {
            Format.Fleet.Builder fleet =
                    Format.Fleet.newBuilder().setId(number(one.view().id()));
            one.view().members().forEach(member -> fleet.addMembers(person(member)));
            to.setViewIs(fleet);
        } else if (body instanceof Body.Knock one) {
            to.setKnock(person(one.member()));
        } else if (body instanceof Body.Found one) {
            to.setFound(Format.Found.newBuilder().setEpoch(one.epoch()).setOrdered(one.ordered()));
        } else if (body instanceof Body.Consent one) {
            to.setConsent(Format.Consent.newBuilder().setEpoch(one.epoch()).setMember(person(one.member())));
        }
    }

    private static Format.Piece piece(GossipUpdate news) {
        Format.Piece.Builder to = Format.Piece.newBuilder();
        if (news instanceof GossipUpdate.Report one) {
            to.setReport(edge(one.member(), one.slot(), one.counter()));
        } else if (news instanceof GossipUpdate.Suspicion one) {
            to.setSuspicion(edge(one.member(), one.slot(), one.counter()));
        } else if (news instanceof GossipUpdate.Leaving one) {
            to.setLeaving(one.member());
        } else if (news instanceof GossipUpdate.Joining one) {
            to.setJoining(person(one.member()));
        } else if (news instanceof GossipUpdate.Heard one) {
            to.setHeard(Format.Heard.newBuilder()
                    .setJoiner(id(one.joiner()))
                    .setSlot(one.slot())
                    .setCounter(one.counter()));
        } else if (news instanceof GossipUpdate.FastVotes one) {
            to.setFastVotes(votes(0, one.change(), one.voters()));
        } else if (news instanceof GossipUpdate.Prepare one) {
            to.setPrepare(one.ballot());
        } else if (news instanceof GossipUpdate.Promised one) {
            Format.Promised.Builder promised = Format.Promised.newBuilder()
                    .setBallot(one.ballot())
                    .setMember(one.member())
                    .setVotedIn(one.promise().votedIn());
            if (one.promise().voted() != null) {
                promised.setVoted(step(one.promise().voted()));
            }
            to.setPromised(promised);
        } else if (news instanceof GossipUpdate.Accepted one) {
            to.setAccepted(votes(one.ballot(), one.change(), one.voters()));
        }
        return to.build();
    }

    private static Format.Votes votes(long ballot, ViewChange change, BitSet voters) {
        return Format.Votes.newBuilder()
                .setBallot(ballot)
                .setChange(step(change))
                .setVoters(ByteString.copyFrom(voters.toByteArray()))
                .build();
    }

    private static Format.Step step(ViewChange change) {
        Format.Step.Builder to = Format.Step.newBuilder();
        change.out().forEach(one -> to.addOut(id(one)));
        change.in().forEach(one -> to.addIn(person(one)));
        return to.build();
    }

    private static Format.Edge edge(int member, int slot, int counter) {
        return Format.Edge.newBuilder()
                .setMember(member)
                .setSlot(slot)
                .setCounter(counter)
                .build();
    }

    private static Format.Id id(MemberId id) {
        return Format.Id.newBuilder().setName(id.name()).setStart(id.start()).build();
    }

    private static Format.ViewNumber number(ViewId id) {
        return Format.ViewNumber.newBuilder()
                .setEpoch(id.epoch())
                .setNumber(id.number())
                .build();
    }

    private static Format.Person person(Member one) {
        return Format.Person.newBuilder()
                .setId(id(one.id()))
                .setAddress(one.address())
                .setZone(one.zone())
                .setBuild(one.build())
                .setConfig(one.config())
                .build();
    }

    // ---- from bytes ----

    public Received decode(byte[] bytes) throws MalformedMessageException {
        if (bytes.length < Integer.BYTES || ByteBuffer.wrap(bytes).getInt() != checksum(bytes, Integer.BYTES)) {
            throw new MalformedMessageException(MalformedMessageException.Kind.SPOILT, "checksum");
        }
        Format.Envelope told;
        try {
            told = Format.Envelope.parseFrom(ByteString.copyFrom(bytes, Integer.BYTES, bytes.length - Integer.BYTES));
        } catch (InvalidProtocolBufferException e) {
            throw new MalformedMessageException(
                    MalformedMessageException.Kind.GARBAGE, "no message: " + e.getMessage());
        }
        if (told.getMajor() != MAJOR) {
            throw new MalformedMessageException(MalformedMessageException.Kind.VERSION, "format " + told.getMajor());
        }
        if (!told.getCluster().equals(cluster)) {
            throw new MalformedMessageException(MalformedMessageException.Kind.FOREIGN, "another cluster");
        }
        List<GossipUpdate> news = new ArrayList<>();
        within(told.getNewsCount(), 0, MOST_NEWS, "pieces of news");
        for (Format.Piece one : told.getNewsList()) {
            GossipUpdate piece = piece(one);
            if (piece != null) { // null: of a later minor version
                news.add(piece);
            }
        }
        return new Received(
                address(told.getAddress()),
                new Message(
                        id(told.getFrom()),
                        number(told.getView()),
                        told.getStands(),
                        told.getDigest(),
                        body(told),
                        news));
    }

    /** What a later minor version says is news alone to this one. */
    private static Body body(Format.Envelope told) throws MalformedMessageException {
        return switch (told.getBodyCase()) {
            case PING ->
                new Body.Ping(told.getPing().getNumber(), id(told.getPing().getTo()));
            case ACK -> new Body.Ack(told.getAck());
            case AROUND ->
                new Body.AskAround(
                        told.getAround().getNumber(),
                        id(told.getAround().getTo()),
                        address(told.getAround().getAddress()));
            case NACK -> new Body.Nack(told.getNack());
            case WHICH_VIEW -> new Body.WhichView();
            case VIEW_IS -> new Body.ViewIs(fleet(told.getViewIs()));
            case KNOCK -> new Body.Knock(person(told.getKnock()));
            case FOUND ->
                new Body.Found(
                        within(told.getFound().getEpoch(), 1, Long.MAX_VALUE, "epoch"),
                        told.getFound().getOrdered());
            case CONSENT ->
                new Body.Consent(
                        told.getConsent().getEpoch(), person(told.getConsent().getMember()));
            default -> new Body.Gossip();
        };
    }

    private static View fleet(Format.Fleet told) throws MalformedMessageException {
        within(told.getMembersCount(), 1, MOST_MEMBERS, "members");
        ViewId id = number(told.getId());
        within(id.number(), 1, MOST_NUMBER, "number of a view");
        List<Member> members = new ArrayList<>();
        for (Format.Person one : told.getMembersList()) {
            members.add(person(one));
        }
        try {
            return new View(id, members);
        } catch (IllegalArgumentException e) {
            throw new MalformedMessageException(MalformedMessageException.Kind.GARBAGE, e.getMessage());
        }
    }

    private static GossipUpdate piece(Format.Piece told) throws MalformedMessageException {
        return switch (told.getWhatCase()) {
            case REPORT ->
                new GossipUpdate.Report(
                        index(told.getReport().getMember()),
                        slot(told.getReport().getSlot()),
                        counter(told.getReport().getCounter()));
            case SUSPICION ->
                new GossipUpdate.Suspicion(
                        index(told.getSuspicion().getMember()),
                        slot(told.getSuspicion().getSlot()),
                        counter(told.getSuspicion().getCounter()));
            case LEAVING -> new GossipUpdate.Leaving(index(told.getLeaving()));
            case JOINING -> new GossipUpdate.Joining(person(told.getJoining()));
            case HEARD ->
                new GossipUpdate.Heard(
                        id(told.getHeard().getJoiner()),
                        slot(told.getHeard().getSlot()),
                        counter(told.getHeard().getCounter()));
            case FAST_VOTES ->
                new GossipUpdate.FastVotes(step(told.getFastVotes().getChange()), voters(told.getFastVotes()));
            case PREPARE -> new GossipUpdate.Prepare(ballot(told.getPrepare()));
            case PROMISED -> promised(told.getPromised());
            case ACCEPTED ->
                new GossipUpdate.Accepted(
                        ballot(told.getAccepted().getBallot()),
                        step(told.getAccepted().getChange()),
                        voters(told.getAccepted()));
            default -> null;
        };
    }

    private static GossipUpdate promised(Format.Promised told) throws MalformedMessageException {
        boolean voted = told.hasVoted();
        if (voted != told.getVotedIn() >= ViewAgreement.FAST) {
            throw new MalformedMessageException(MalformedMessageException.Kind.GARBAGE, "a vote without its ballot");
        }
        return new GossipUpdate.Promised(
                ballot(told.getBallot()),
                index(told.getMember()),
                new ViewAgreement.Promise(
                        within(told.getVotedIn(), ViewAgreement.NEVER, told.getBallot() - 1, "vote"),
                        voted ? step(told.getVoted()) : null));
    }

    private static ViewChange step(Format.Step told) throws MalformedMessageException {
        within(told.getOutCount() + told.getInCount(), 1, 2 * MOST_MEMBERS, "members in a change");
        List<MemberId> out = new ArrayList<>();
        for (Format.Id one : told.getOutList()) {
            out.add(id(one));
        }
        List<Member> in = new ArrayList<>();
        for (Format.Person one : told.getInList()) {
            in.add(person(one));
        }
        return ViewChange.of(out, in);
    }

    private static BitSet voters(Format.Votes told) throws MalformedMessageException {
        within(told.getVoters().size(), 0, MOST_MEMBERS / 8, "bytes of voters");
        return BitSet.valueOf(told.getVoters().toByteArray());
    }

    private static MemberId id(Format.Id told) throws MalformedMessageException {
        if (told.getName().isEmpty()) {
            throw new MalformedMessageException(MalformedMessageException.Kind.GARBAGE, "no name");
        }
        return new MemberId(text(told.getName()), within(told.getStart(), 0, MOST_NUMBER, "start"));
    }

    private static ViewId number(Format.ViewNumber told) throws MalformedMessageException {
        return new ViewId(
                within(told.getEpoch(), 0, MOST_NUMBER, "epoch"),
                within(told.getNumber(), 0, MOST_NUMBER, "number of a view"));
    }

    private static Member person(Format.Person told) throws MalformedMessageException {
        return new Member(
                id(told.getId()),
                address(told.getAddress()),
                text(told.getZone()),
                text(told.getBuild()),
                told.getConfig());
    }

    /** Only IPv4 addresses: to look a name up would hold the loop. */
    private static String address(String told) throws MalformedMessageException {
        if (!PeerAddress.isOne(told)) {
            throw new MalformedMessageException(MalformedMessageException.Kind.GARBAGE, "no address");
        }
        return told;
    }

    private static String text(String told) throws MalformedMessageException {
        within(told.length(), 0, MOST_TEXT, "characters");
        return told;
    }

    private static int index(int told) throws MalformedMessageException {
        return (int) within(told, 0, MOST_MEMBERS - 1, "member");
    }

    private static int slot(int told) throws MalformedMessageException {
        return (int) within(told, 0, View.WATCHERS - 1, "slot");
    }

    private static int counter(int told) throws MalformedMessageException {
        return (int) within(told, 0, MOST_COUNTER, "counter");
    }

    private static long ballot(long told) throws MalformedMessageException {
        return within(told, 1, MOST_NUMBER, "ballot");
    }

    private static long within(long value, long least, long most, String what) throws MalformedMessageException {
        if (value < least || value > most) {
            throw new MalformedMessageException(MalformedMessageException.Kind.GARBAGE, what + ": " + value);
        }
        return value;
    }
}
