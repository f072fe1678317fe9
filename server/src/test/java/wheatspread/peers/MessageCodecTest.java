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
        for (Message message : messages()) {
            MessageCodec.Received received = CODEC.decode(CODEC.encode(message));
            assertThat(received.address()).isEqualTo(SampleMessages.ADDRESS);
            assertThat(received.message()).isEqualTo(message);
        }
        Message withoutView = new Message(SampleMessages.SENDER, ViewId.NONE, false, 0, new Body.Gossip(), List.of());
        assertThat(CODEC.decode(CODEC.encode(withoutView)).message()).isEqualTo(withoutView);
    }

    @Test
    void otherClustersAndMajorVersionsAreRejectedAndLaterMinorVersionsAccepted() throws Exception {
        Message message = messages().get(0);
        assertThatThrownBy(() -> new MessageCodec("pantry", SampleMessages.ADDRESS).decode(CODEC.encode(message)))
                .isInstanceOfSatisfying(
                        MalformedMessageException.class,
                        e -> assertThat(e.reason()).isEqualTo(MalformedMessageException.Reason.OTHER_CLUSTER));
        Format.Envelope sentEnvelope = Format.Envelope.parseFrom(envelope(message));
        byte[] nextMajor = MessageCodec.prependChecksum(sentEnvelope.toBuilder()
                .setMajor(MessageCodec.MAJOR_VERSION + 1)
                .build()
                .toByteArray());
        assertThatThrownBy(() -> CODEC.decode(nextMajor))
                .isInstanceOfSatisfying(
                        MalformedMessageException.class,
                        e -> assertThat(e.reason()).isEqualTo(MalformedMessageException.Reason.UNSUPPORTED_VERSION));
        // a gossip update and a field that this version does not know
        byte[] unknownFields = {(byte) 0x4a, 0x03, (byte) 0xa0, 0x06, 0x01, (byte) 0xa8, 0x06, 0x05};
        byte[] encoded = sentEnvelope.toBuilder()
                .setMinor(MessageCodec.MINOR_VERSION + 1)
                .build()
                .toByteArray();
        byte[] laterMinor = Arrays.copyOf(encoded, encoded.length + unknownFields.length);
        System.arraycopy(unknownFields, 0, laterMinor, encoded.length, unknownFields.length);
        assertThat(CODEC.decode(MessageCodec.prependChecksum(laterMinor)).message())
                .isEqualTo(message);
    }

    private static byte[] envelope(Message message) {
        byte[] encoded = CODEC.encode(message);
        return Arrays.copyOfRange(encoded, 4, encoded.length);
    }

    @Test
    void onlyIpv4AddressesWithPortsAreValid() {
        for (String valid : List.of("10.0.0.7:7400", "255.255.255.255:65535", "0.0.0.0:1")) {
            assertThat(PeerAddress.format(PeerAddress.parse(valid))).isEqualTo(valid);
        }
        for (String invalid : List.of(
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
            assertThat(PeerAddress.isValid(invalid)).as(invalid).isFalse();
        }
    }

    /**
     * Guards against corrupt messages that change the view or stop the process: a million datagrams that were corrupted
     * after encoding, and a quarter of a million with a valid checksum over a corrupted envelope, from a fixed seed.
     */
    @Test
    @Timeout(100)
    void aMillionCorruptDatagramsDoNotChangeTheView() {
        View view = SampleMessages.view(12);
        long[] sentMessages = {0};
        List<View> views = new ArrayList<>();
        Membership self = new Membership(
                SampleMessages.member(2),
                List.of(SampleMessages.member(0).address()),
                DetectorSettings.DEFAULT,
                new SplittableRandom(1),
                new Membership.Actions() {
                    @Override
                    public void send(String address, Message message) {
                        sentMessages[0]++;
                    }

                    @Override
                    public void onViewInstalled(View previous, View installed, List<Departure> departures) {
                        views.add(installed);
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
        int decoded = 0;
        for (int i = 0; i < 1_250_000; i++) {
            boolean checksumValid = i % 5 == 4;
            byte[] corrupted = checksumValid
                    ? MessageCodec.prependChecksum(corrupt(envelopes.get(random.nextInt(envelopes.size())), random))
                    : corrupt(encoded.get(random.nextInt(encoded.size())), random);
            try {
                MessageCodec.Received received = CODEC.decode(corrupted);
                decoded++;
                if (!checksumValid
                        || !received.message().view().equals(view.id())) { // otherwise it may be a valid change
                    self.receive(received.address(), received.message(), i);
                }
            } catch (MalformedMessageException e) {
                rejected.merge(e.reason(), 1, Integer::sum);
            }
        }
        assertThat(views).as("only the first view").containsExactly(view);
        assertThat(rejected.get(MalformedMessageException.Reason.CORRUPT)).isGreaterThan(990_000);
        assertThat(rejected.get(MalformedMessageException.Reason.INVALID)).isGreaterThan(100_000);
        assertThat(decoded).isGreaterThan(1_000);
        assertThat(sentMessages[0])
                .as("replies to corrupt messages are fewer than decoded messages")
                .isLessThan(decoded);
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
