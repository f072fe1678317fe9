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
 * Encodes and decodes messages: a CRC-32C of four bytes in big-endian order, then an {@code Envelope} with the format
 * version and the cluster's name. Messages that are corrupt, have fields out of bounds, or belong to another cluster or
 * another major version are rejected.
 */
public final class MessageCodec {
    /**
     * The major format version, incremented by incompatible changes; programs drop messages of a different major
     * version.
     */
    public static final int MAJOR_VERSION = 1;
    /** The minor format version, incremented by additions that older programs can skip. */
    public static final int MINOR_VERSION = 0;
    /** The maximum number of members in a view. */
    public static final int MAX_MEMBERS = 4_096;

    private static final int MAX_UPDATES = 1 << 16;

    private final String cluster;
    private final String address;

    /** A decoded message, with the address to which replies are sent. */
    public record Received(String address, Message message) {}

    /**
     * Creates a codec; {@code address} is this server's address, which its messages carry as the address for replies.
     */
    public MessageCodec(String cluster, String address) {
        this.cluster = cluster;
        this.address = address;
    }

    /** Encodes a message from this server. */
    public byte[] encode(Message message) {
        Format.Envelope.Builder envelope = Format.Envelope.newBuilder()
                .setMajor(MAJOR_VERSION)
                .setMinor(MINOR_VERSION)
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

    /**
     * Decodes a message.
     *
     * @throws MalformedMessageException if the message must be dropped
     */
    public Received decode(byte[] bytes) throws MalformedMessageException {
        Format.Envelope envelope = parse(bytes);
        if (envelope.getMajor() != MAJOR_VERSION) {
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

    /** Returns the checksum of an envelope, followed by the envelope. */
    static byte[] prependChecksum(byte[] envelope) {
        return ByteBuffer.allocate(Integer.BYTES + envelope.length)
                .putInt(checksum(envelope, 0))
                .put(envelope)
                .array();
    }

    /** Computes the CRC-32C: UDP's checksum has only 16 bits, may be absent, and does not extend past a relay. */
    private static int checksum(byte[] bytes, int from) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, from, bytes.length - from);
        return (int) checksum.getValue();
    }
}
