package wheatspread.peers;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import wheatspread.membership.GossipUpdate;
import wheatspread.membership.Message;

/**
 * Messages to and from bytes: a CRC-32C of four bytes, highest byte first, then an {@code Envelope} with the format
 * version and the cluster's name. Messages that are damaged, out of bounds, of another cluster or of another major
 * version are rejected.
 */
public final class MessageCodec {
    /** Grows with a change that older programs would misread; they drop such messages. */
    public static final int MAJOR = 1;
    /** Grows with additions that older programs may skip. */
    public static final int MINOR = 0;
    /** Members of the largest fleet. */
    public static final int MAX_MEMBERS = 4_096;

    private static final int MAX_UPDATES = 1 << 16;

    private final String cluster;
    private final String address;

    /** A decoded message, with the address to which answers go. */
    public record Received(String address, Message message) {}

    /** {@code address} is this server's own, which its messages carry as the address for answers. */
    public MessageCodec(String cluster, String address) {
        this.cluster = cluster;
        this.address = address;
    }

    /** The bytes of a message from this server. */
    public byte[] encode(Message message) {
        Format.Envelope.Builder envelope = Format.Envelope.newBuilder()
                .setMajor(MAJOR)
                .setMinor(MINOR)
                .setCluster(cluster)
                .setFrom(FieldCodec.encodeMemberId(message.from()))
                .setAddress(address)
                .setView(FieldCodec.encodeViewId(message.view()))
                .setStands(message.quorumReachable())
                .setDigest(message.digest());
        message.updates().forEach(update -> envelope.addNews(GossipUpdateCodec.encode(update)));
        BodyCodec.encode(message.body(), envelope);
        return prependChecksum(envelope.build().toByteArray());
    }

    /** The message of these bytes; throws where they are to be dropped. */
    public Received decode(byte[] bytes) throws MalformedMessageException {
        Format.Envelope envelope = parse(bytes);
        if (envelope.getMajor() != MAJOR) {
            throw MalformedMessageException.unsupportedVersion(envelope.getMajor());
        }
        if (!envelope.getCluster().equals(cluster)) {
            throw MalformedMessageException.otherCluster(envelope.getCluster());
        }
        List<GossipUpdate> updates = decodeUpdates(envelope);
        Message message = new Message(
                FieldCodec.decodeMemberId(envelope.getFrom()),
                FieldCodec.decodeViewId(envelope.getView()),
                envelope.getStands(),
                envelope.getDigest(),
                BodyCodec.decode(envelope),
                updates);
        return new Received(FieldCodec.decodeAddress(envelope.getAddress()), message);
    }

    private static Format.Envelope parse(byte[] bytes) throws MalformedMessageException {
        if (bytes.length < Integer.BYTES || ByteBuffer.wrap(bytes).getInt() != checksum(bytes, Integer.BYTES)) {
            throw MalformedMessageException.corrupt();
        }
        try {
            return Format.Envelope.parseFrom(ByteString.copyFrom(bytes, Integer.BYTES, bytes.length - Integer.BYTES));
        } catch (InvalidProtocolBufferException e) {
            throw MalformedMessageException.unparsable(e.getMessage());
        }
    }

    private static List<GossipUpdate> decodeUpdates(Format.Envelope envelope) throws MalformedMessageException {
        FieldCodec.checkRange(envelope.getNewsCount(), 0, MAX_UPDATES, "gossip updates");
        List<GossipUpdate> updates = new ArrayList<>();
        for (Format.Piece field : envelope.getNewsList()) {
            GossipUpdate update = GossipUpdateCodec.decode(field);
            if (update != null) {
                updates.add(update);
            }
        }
        return updates;
    }

    /** The envelope with its checksum in front. */
    static byte[] prependChecksum(byte[] envelope) {
        return ByteBuffer.allocate(Integer.BYTES + envelope.length)
                .putInt(checksum(envelope, 0))
                .put(envelope)
                .array();
    }

    /** UDP's own checksum has 16 bits, may be absent, and ends at the first relay. */
    private static int checksum(byte[] bytes, int from) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, from, bytes.length - from);
        return (int) checksum.getValue();
    }
}
