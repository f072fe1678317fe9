package wheatspread.store;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

class GroupEncoderTest {
    @Property(tries = 200)
    void encodingEqualsThatOfTheProtobufLibrary(
            @ForAll byte[] key, @ForAll byte[] value, @ForAll @LongRange(min = 0) long expires, @ForAll long mark)
            throws Exception {
        GroupEncoder group = new GroupEncoder();
        group.startGroup(2);
        group.add(7, key, value, expires);
        group.add(-9, key, null, 0);
        ByteBuffer bytes = group.end(mark == 0 ? 1 : mark, 256, 256);
        Format.Record put = Format.Record.newBuilder()
                .setKind(Format.Record.Kind.PUT)
                .setKey(ByteString.copyFrom(key))
                .setValue(ByteString.copyFrom(value))
                .setExpiresMs(expires)
                .build();
        Format.Record delete = Format.Record.newBuilder()
                .setKind(Format.Record.Kind.DELETE)
                .setKey(ByteString.copyFrom(key))
                .build();
        int length = RecordFraming.frameBytes(put.getSerializedSize())
                + RecordFraming.frameBytes(delete.getSerializedSize());
        Format.Record head = Format.Record.newBuilder()
                .setKind(Format.Record.Kind.GROUP)
                .setGroup(Format.Group.newBuilder()
                        .setMark(mark == 0 ? 1 : mark)
                        .setAt(256)
                        .setLength(length)
                        .setSynced(256)
                        .addAllHashes(List.of(7L, -9L)))
                .build();
        for (Format.Record expected : List.of(head, put, delete)) {
            ByteBuffer[] body = new ByteBuffer[1];
            assertThat(RecordFraming.read(bytes, body)).isEqualTo(RecordFraming.Found.COMPLETE);
            byte[] actual = new byte[body[0].remaining()];
            body[0].get(actual);
            assertThat(actual).isEqualTo(expected.toByteArray());
        }
        assertThat(bytes.hasRemaining()).isFalse();
    }
}
