package wheatspread.records;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import wheatspread.admission.Outcome;

/**
 * Decodes the replies of the records service. A reply is a line with the call's id and a status; if the call
 * succeeded, the line also has a length, and a body of that length follows. After a malformed reply all further input
 * of the connection is discarded, since the boundaries of later replies are unknown.
 */
final class ReplyDecoder extends ByteToMessageDecoder {
    private static final int MAX_LINE_BYTES = 1024;
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int LINE_END_BYTES = 2;

    /** A reply; {@code body} is null unless the outcome is OK. */
    record Reply(String callId, Outcome outcome, byte[] body) {}

    /** The id of the call whose reply is being decoded; null between replies. */
    private String callId;

    private Outcome outcome;
    private int bodyLength;
    private boolean corrupted;

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (corrupted) {
            in.skipBytes(in.readableBytes()); // even input that resembles a reply may belong to a corrupt body
            return;
        }
        if (callId == null && !readLine(in)) {
            return;
        }
        if (outcome != Outcome.OK) {
            out.add(new Reply(callId, outcome, null));
            callId = null;
        } else if (in.readableBytes() >= bodyLength + LINE_END_BYTES) {
            byte[] body = new byte[bodyLength];
            in.readBytes(body);
            if (in.readByte() != '\r' || in.readByte() != '\n') {
                throw markCorrupted("no CRLF after the body of " + bodyLength + " bytes of a reply");
            }
            out.add(new Reply(callId, outcome, body));
            callId = null;
        }
    }

    /** Reads the line of a reply; returns false if the line is not complete yet. */
    private boolean readLine(ByteBuf in) {
        int end = in.indexOf(in.readerIndex(), in.writerIndex(), (byte) '\n');
        if (end < 0) {
            if (in.readableBytes() > MAX_LINE_BYTES) {
                throw markCorrupted("line of a reply longer than " + MAX_LINE_BYTES + " bytes");
            }
            return false;
        }
        String line = in.readCharSequence(end - in.readerIndex() + 1, StandardCharsets.US_ASCII)
                .toString();
        String[] words = line.trim().split(" ");
        Outcome knownOutcome = words.length < 2 ? null : RecordsWireNames.outcome(words[1]);
        if (knownOutcome == null) {
            throw markCorrupted("line of a reply without a known status");
        }
        if (knownOutcome == Outcome.OK) {
            bodyLength = words.length == 3 && words[2].matches("\\d{1,6}") ? Integer.parseInt(words[2]) : -1;
            if (bodyLength < 0 || bodyLength > MAX_BODY_BYTES) {
                throw markCorrupted("length of a reply's body missing or above " + MAX_BODY_BYTES + " bytes");
            }
        }
        callId = words[0];
        outcome = knownOutcome;
        return true;
    }

    /** Marks all further input as corrupted; returns the exception to throw. */
    private CorruptedFrameException markCorrupted(String problem) {
        corrupted = true;
        return new CorruptedFrameException(problem);
    }
}
