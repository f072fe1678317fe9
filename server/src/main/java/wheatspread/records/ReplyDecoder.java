package wheatspread.records;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;

/** Reads the replies of the records service: a line, and after DONE a body of the stated length. */
final class ReplyDecoder extends ByteToMessageDecoder {
    private static final int LONGEST_LINE = 1024;
    private static final int LONGEST_BODY = 64 * 1024;
    private static final Set<String> WORDS = Set.of("DONE", "WAIT", "ERROR", "PAST", "EMPTY");

    /** One reply; {@code body} is null unless the word is DONE. */
    record Reply(String job, String word, byte[] body) {}

    private String[] head;
    private int length;
    private boolean spoilt;

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (spoilt) {
            in.skipBytes(in.readableBytes()); // what follows noise is noise, even if it reads like a reply
            return;
        }
        if (head == null && !readHead(in)) {
            return;
        }
        if (!head[1].equals("DONE")) {
            out.add(new Reply(head[0], head[1], null));
            head = null;
        } else if (in.readableBytes() >= length + 2) {
            byte[] body = new byte[length];
            in.readBytes(body);
            if (in.readByte() != '\r' || in.readByte() != '\n') {
                throw spoilt("no line end after a reply's body");
            }
            out.add(new Reply(head[0], "DONE", body));
            head = null;
        }
    }

    private boolean readHead(ByteBuf in) {
        int end = in.indexOf(in.readerIndex(), in.writerIndex(), (byte) '\n');
        if (end < 0) {
            if (in.readableBytes() > LONGEST_LINE) {
                throw spoilt("a reply's line is too long");
            }
            return false;
        }
        String line = in.readCharSequence(end - in.readerIndex() + 1, StandardCharsets.US_ASCII)
                .toString();
        String[] words = line.trim().split(" ");
        if (words.length < 2 || !WORDS.contains(words[1])) {
            throw spoilt("a reply without a known word");
        }
        if (words[1].equals("DONE")) {
            length = words.length == 3 && words[2].matches("\\d{1,6}") ? Integer.parseInt(words[2]) : -1;
            if (length < 0 || length > LONGEST_BODY) {
                throw spoilt("a reply's length is missing or too large");
            }
        }
        head = words;
        return true;
    }

    private CorruptedFrameException spoilt(String complaint) {
        spoilt = true;
        return new CorruptedFrameException(complaint);
    }
}
