package wheatspread.control;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import wheatspread.transport.ClientChannelHandler;
import wheatspread.transport.Listener;

/** One connection to the operators' endpoint: reads the head of one HTTP request, answers it, and closes. */
final class ControlConnection extends ClientChannelHandler {
    private final ControlFront front;
    private boolean answered;

    ControlConnection(Listener listener, ControlFront front) {
        super(listener);
        this.front = front;
    }

    @Override
    protected int openRequests() {
        return 0;
    }

    @Override
    protected void clientDisconnected() {
        // a request is answered as soon as it is read, so no request is open
    }

    @Override
    public void notifyDraining() {
        if (!hasPartialMessage()) {
            drain();
        }
    }

    @Override
    protected int readMessages(ByteBuf bytes) {
        if (answered) {
            bytes.skipBytes(bytes.readableBytes());
            return 0;
        }
        int end = endOfHead(bytes);
        if (end < 0) {
            if (bytes.readableBytes() > ControlFront.MAX_HEAD_BYTES) {
                bytes.skipBytes(bytes.readableBytes());
                answer(ControlFront.response(
                        "431 Request Header Fields Too Large",
                        "head over " + ControlFront.MAX_HEAD_BYTES + " bytes\n"));
                return 1;
            }
            return 0; // the head is incomplete
        }
        int length = end - bytes.readerIndex();
        String head =
                bytes.readCharSequence(length, StandardCharsets.ISO_8859_1).toString();
        bytes.skipBytes(bytes.readableBytes()); // a body and further requests are ignored
        answer(front.endpoints.answer(head));
        return 1;
    }

    private void answer(byte[] response) {
        answered = true;
        write(Unpooled.wrappedBuffer(response));
        answerWritten();
        drain();
    }

    /** Returns the index after the blank line that ends the head; -1 if the head is incomplete. */
    private static int endOfHead(ByteBuf bytes) {
        int from = bytes.readerIndex();
        int to = bytes.writerIndex();
        for (int i = from; i < to; i++) {
            if (bytes.getByte(i) == '\n') {
                if (i + 1 < to && bytes.getByte(i + 1) == '\n') {
                    return i + 2;
                }
                if (i + 2 < to && bytes.getByte(i + 1) == '\r' && bytes.getByte(i + 2) == '\n') {
                    return i + 3;
                }
            }
        }
        return -1;
    }
}
