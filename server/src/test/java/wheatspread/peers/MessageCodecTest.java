package wheatspread.peers;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import wheatspread.membership.Departure;
import wheatspread.membership.DetectorSettings;
import wheatspread.membership.GossipUpdate;
import wheatspread.membership.Member;
import wheatspread.membership.MemberId;
import wheatspread.membership.Membership;
import wheatspread.membership.Message;
import wheatspread.membership.Message.Body;
import wheatspread.membership.View;
import wheatspread.membership.ViewAgreement;
import wheatspread.membership.ViewChange;
import wheatspread.membership.ViewId;

class MessageCodecTest {
    private static final String HERE = "127.0.0.1:7400";
    private static final MessageCodec CODEC = new MessageCodec("kitchen", HERE);

    private static Member member(int i) {
        return new Member(new MemberId("m" + i, 1_000 + i), "10.0.0." + i + ":7400", "zone-" + i % 3, "b1", 7);
    }

    private static View view(int size) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            members.add(member(i));
        }
        return new View(new ViewId(54_400_000_161_760L, 3), members);
    }

    private static List<GossipUpdate> news() {
        ViewChange change = ViewChange.of(List.of(member(1).id()), List.of(member(200)));
        return List.of(
                new GossipUpdate.Report(3, 9, 5),
                new GossipUpdate.Suspicion(0, 0, 1),
                new GossipUpdate.Leaving(11),
                new GossipUpdate.Joining(member(20)),
                new GossipUpdate.Heard(member(20).id(), 2, 1),
                new GossipUpdate.FastVotes(change, BitSet.valueOf(new long[] {0b1011})),
                new GossipUpdate.Prepare(1 << 20),
                new GossipUpdate.Promised(1 << 20, 4, new ViewAgreement.Promise(ViewAgreement.NEVER, null)),
                new GossipUpdate.Promised(1 << 20, 5, new ViewAgreement.Promise(ViewAgreement.FAST, change)),
                new GossipUpdate.Accepted(1 << 20, change, BitSet.valueOf(new long[] {0b11})));
    }

    private static List<Message> messages() {
        MemberId from = member(2).id();
        return Stream.of(
                        new Body.Ping(7, member(1).id()),
                        new Body.Ack(7),
                        new Body.AskAround(8, member(1).id(), "10.0.0.1:7400"),
                        new Body.Nack(8),
                        new Body.Gossip(),
                        new Body.WhichView(),
                        new Body.ViewIs(view(12)),
                        new Body.Knock(member(30)),
                        new Body.Found(54_400_000_161_761L, true),
                        new Body.Consent(54_400_000_161_761L, member(3)))
                .map(body -> new Message(from, view(12).id(), true, -5, (Body) body, news()))
                .toList();
    }

    @Test
    void whatIsSaidIsReadAsItWasSaid() throws Exception {
        for (Message one : messages()) {
            MessageCodec.Received read = CODEC.decode(CODEC.encode(one));
            assertThat(read.address()).isEqualTo(HERE);
            assertThat(read.message()).isEqualTo(one);
        }
        Message first = new Message(member(2).id(), ViewId.NONE, false, 0, new Body.Gossip(), List.of());
        assertThat(CODEC.decode(CODEC.encode(first)).message()).isEqualTo(first);
    }

    @Test
    void otherClustersAndMajorVersionsAreNotReadAndLaterMinorOnesAre() throws Exception {
        Message one = messages().get(0);
        assertThatThrownBy(() -> new MessageCodec("pantry", HERE).decode(CODEC.encode(one)))
                .isInstanceOfSatisfying(
                        MalformedMessageException.class,
                        e -> assertThat(e.kind()).isEqualTo(MalformedMessageException.Kind.FOREIGN));
        Format.Envelope told = Format.Envelope.parseFrom(envelope(one));
        byte[] next = MessageCodec.seal(
                told.toBuilder().setMajor(MessageCodec.MAJOR + 1).build().toByteArray());
        assertThatThrownBy(() -> CODEC.decode(next))
                .isInstanceOfSatisfying(
                        MalformedMessageException.class,
                        e -> assertThat(e.kind()).isEqualTo(MalformedMessageException.Kind.VERSION));
        // a piece of news and a field that this version has never heard of
        byte[] unknown = {(byte) 0x4a, 0x03, (byte) 0xa0, 0x06, 0x01, (byte) 0xa8, 0x06, 0x05};
        byte[] said = told.toBuilder().setMinor(MessageCodec.MINOR + 1).build().toByteArray();
        byte[] later = Arrays.copyOf(said, said.length + unknown.length);
        System.arraycopy(unknown, 0, later, said.length, unknown.length);
        assertThat(CODEC.decode(MessageCodec.seal(later)).message()).isEqualTo(one);
    }

    private static byte[] envelope(Message message) {
        byte[] sealed = CODEC.encode(message);
        return Arrays.copyOfRange(sealed, 4, sealed.length);
    }

    @Test
    void onlyIpv4AddressesAreAddresses() {
        for (String good : List.of("10.0.0.7:7400", "255.255.255.255:65535", "0.0.0.0:1")) {
            assertThat(PeerAddress.text(PeerAddress.parse(good))).isEqualTo(good);
        }
        for (String bad : List.of(
                "",
                "localhost:1",
                "10.0.0.7",
                "10.0.0.7:",
                "10.0.0.7:0",
                "10.0.0.256:1",
                "10.0.0:1",
                "1.2.3.4.5:6",
                "10.0.0.7:65536",
                "10.0.0.7:99999999999",
                "10..0.7:1",
                "::1:7",
                "10.0.0.7:7x",
                " 10.0.0.7:7")) {
            assertThat(PeerAddress.isOne(bad)).as(bad).isFalse();
        }
    }

    /**
     * A million datagrams that were said once and then spoilt, one seed; and a quarter of a million that
     * somebody spoilt and sealed again, which only must not harm the process.
     */
    @Test
    @Timeout(100)
    void aMillionSpoiltDatagramsChangeNothing() {
        View view = view(12);
        long[] sent = {0};
        List<View> views = new ArrayList<>();
        Membership self = new Membership(
                member(2),
                List.of(member(0).address()),
                DetectorSettings.USUAL,
                new SplittableRandom(1),
                new Membership.Actions() {
                    @Override
                    public void send(String address, Message message) {
                        sent[0]++;
                    }

                    @Override
                    public void changed(View before, View now, List<Departure> gone) {
                        views.add(now);
                    }

                    @Override
                    public long unixMillis() {
                        return 1_700_000_000_000L;
                    }
                });
        self.begin(view, 0);
        List<byte[]> said = messages().stream().map(CODEC::encode).toList();
        List<byte[]> bare = messages().stream().map(MessageCodecTest::envelope).toList();
        SplittableRandom random = new SplittableRandom(21);
        Map<MalformedMessageException.Kind, Integer> unread = new EnumMap<>(MalformedMessageException.Kind.class);
        int read = 0;
        for (int i = 0; i < 1_250_000; i++) {
            boolean sealed = i % 5 == 4;
            byte[] spoilt = sealed
                    ? MessageCodec.seal(spoil(bare.get(random.nextInt(bare.size())), random))
                    : spoil(said.get(random.nextInt(said.size())), random);
            try {
                MessageCodec.Received told = CODEC.decode(spoilt);
                read++;
                if (!sealed || !told.message().view().equals(view.id())) { // else it may well be true
                    self.received(told.address(), told.message(), i);
                }
            } catch (MalformedMessageException e) {
                unread.merge(e.kind(), 1, Integer::sum);
            }
        }
        assertThat(views).as("only the first view").containsExactly(view);
        assertThat(unread.get(MalformedMessageException.Kind.SPOILT)).isGreaterThan(990_000);
        assertThat(unread.get(MalformedMessageException.Kind.GARBAGE)).isGreaterThan(100_000);
        assertThat(read).isGreaterThan(1_000);
        assertThat(sent[0]).as("answers to garbage are bounded").isLessThan(read);
    }

    private static byte[] spoil(byte[] said, SplittableRandom random) {
        byte[] spoilt = said.clone();
        if (random.nextInt(4) == 0) {
            spoilt = Arrays.copyOf(spoilt, random.nextInt(spoilt.length + 1));
        }
        for (int times = 1 + random.nextInt(6); times > 0 && spoilt.length > 0; times--) {
            spoilt[random.nextInt(spoilt.length)] = (byte) random.nextInt(256);
        }
        return spoilt;
    }
}
