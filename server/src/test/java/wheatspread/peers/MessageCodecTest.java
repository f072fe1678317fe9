package wheatspread.peers;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import wheatspread.membership.Departure;
import wheatspread.membership.DetectorSettings;
import wheatspread.membership.GossipUpdate;
import wheatspread.membership.Membership;
import wheatspread.membership.Message;
import wheatspread.membership.Message.Body;
import wheatspread.membership.View;
import wheatspread.membership.ViewId;

class MessageCodecTest {
    private static final MessageCodec CODEC = new MessageCodec(SampleMessages.CLUSTER, SampleMessages.ADDRESS);

    private static List<Message> messages() {
        List<GossipUpdate> updates = List.copyOf(SampleMessages.updates().values());
        return SampleMessages.bodies().values().stream()
                .map(body -> SampleMessages.message(body, updates))
                .toList();
    }

    @Test
    void encodedMessagesDecodeToTheSameMessage() throws Exception {
        for (Message one : messages()) {
            MessageCodec.Received read = CODEC.decode(CODEC.encode(one));
            assertThat(read.address()).isEqualTo(SampleMessages.ADDRESS);
            assertThat(read.message()).isEqualTo(one);
        }
        Message first = new Message(SampleMessages.SENDER, ViewId.NONE, false, 0, new Body.Gossip(), List.of());
        assertThat(CODEC.decode(CODEC.encode(first)).message()).isEqualTo(first);
    }

    @Test
    void otherClustersAndMajorVersionsAreRejectedAndLaterMinorVersionsAccepted() throws Exception {
        Message one = messages().get(0);
        assertThatThrownBy(() -> new MessageCodec("pantry", SampleMessages.ADDRESS).decode(CODEC.encode(one)))
                .isInstanceOfSatisfying(
                        MalformedMessageException.class,
                        e -> assertThat(e.reason()).isEqualTo(MalformedMessageException.Reason.OTHER_CLUSTER));
        Format.Envelope received = Format.Envelope.parseFrom(envelope(one));
        byte[] next = MessageCodec.prependChecksum(
                received.toBuilder().setMajor(MessageCodec.MAJOR + 1).build().toByteArray());
        assertThatThrownBy(() -> CODEC.decode(next))
                .isInstanceOfSatisfying(
                        MalformedMessageException.class,
                        e -> assertThat(e.reason()).isEqualTo(MalformedMessageException.Reason.UNSUPPORTED_VERSION));
        // a gossip update and a field that this version does not know
        byte[] unknown = {(byte) 0x4a, 0x03, (byte) 0xa0, 0x06, 0x01, (byte) 0xa8, 0x06, 0x05};
        byte[] encoded =
                received.toBuilder().setMinor(MessageCodec.MINOR + 1).build().toByteArray();
        byte[] later = Arrays.copyOf(encoded, encoded.length + unknown.length);
        System.arraycopy(unknown, 0, later, encoded.length, unknown.length);
        assertThat(CODEC.decode(MessageCodec.prependChecksum(later)).message()).isEqualTo(one);
    }

    private static byte[] envelope(Message message) {
        byte[] encoded = CODEC.encode(message);
        return Arrays.copyOfRange(encoded, 4, encoded.length);
    }

    @Test
    void onlyIpv4AddressesWithPortsAreValid() {
        for (String good : List.of("10.0.0.7:7400", "255.255.255.255:65535", "0.0.0.0:1")) {
            assertThat(PeerAddress.format(PeerAddress.parse(good))).isEqualTo(good);
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
            assertThat(PeerAddress.isValid(bad)).as(bad).isFalse();
        }
    }

    /**
     * A million valid datagrams that were corrupted, from one seed; and a quarter of a million with a valid checksum
     * over a corrupted envelope, which only must not harm the process.
     */
    @Test
    @Timeout(100)
    void aMillionCorruptDatagramsDoNotChangeTheView() {
        View view = SampleMessages.view(12);
        long[] sent = {0};
        List<View> views = new ArrayList<>();
        Membership self = new Membership(
                SampleMessages.member(2),
                List.of(SampleMessages.member(0).address()),
                DetectorSettings.DEFAULT,
                new SplittableRandom(1),
                new Membership.Actions() {
                    @Override
                    public void send(String address, Message message) {
                        sent[0]++;
                    }

                    @Override
                    public void onViewInstalled(View before, View now, List<Departure> gone) {
                        views.add(now);
                    }

                    @Override
                    public long unixMillis() {
                        return 1_700_000_000_000L;
                    }
                });
        self.startWithView(view, 0);
        List<byte[]> encoded = messages().stream().map(CODEC::encode).toList();
        List<byte[]> envelopes =
                messages().stream().map(MessageCodecTest::envelope).toList();
        SplittableRandom random = new SplittableRandom(21);
        Map<MalformedMessageException.Reason, Integer> rejected = new EnumMap<>(MalformedMessageException.Reason.class);
        int read = 0;
        for (int i = 0; i < 1_250_000; i++) {
            boolean checksumValid = i % 5 == 4;
            byte[] corrupted = checksumValid
                    ? MessageCodec.prependChecksum(corrupt(envelopes.get(random.nextInt(envelopes.size())), random))
                    : corrupt(encoded.get(random.nextInt(encoded.size())), random);
            try {
                MessageCodec.Received received = CODEC.decode(corrupted);
                read++;
                if (!checksumValid || !received.message().view().equals(view.id())) { // else it may be a valid change
                    self.receive(received.address(), received.message(), i);
                }
            } catch (MalformedMessageException e) {
                rejected.merge(e.reason(), 1, Integer::sum);
            }
        }
        assertThat(views).as("only the first view").containsExactly(view);
        assertThat(rejected.get(MalformedMessageException.Reason.CORRUPT)).isGreaterThan(990_000);
        assertThat(rejected.get(MalformedMessageException.Reason.INVALID)).isGreaterThan(100_000);
        assertThat(read).isGreaterThan(1_000);
        assertThat(sent[0]).as("answers to corrupt messages are bounded").isLessThan(read);
    }

    private static byte[] corrupt(byte[] encoded, SplittableRandom random) {
        byte[] corrupted = encoded.clone();
        if (random.nextInt(4) == 0) {
            corrupted = Arrays.copyOf(corrupted, random.nextInt(corrupted.length + 1));
        }
        for (int times = 1 + random.nextInt(6); times > 0 && corrupted.length > 0; times--) {
            corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt(256);
        }
        return corrupted;
    }
}
