package wheatspread.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import wheatspread.store.RecordFraming.Found;

class RecordFramingTest {
    private static final List<String> BODIES = List.of("first", "", "a third one that is longer", "4");

    private static ByteBuffer createFile() {
        ByteBuffer file = ByteBuffer.allocate(200);
        BODIES.forEach(body -> RecordFraming.write(ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)), file));
        return file.flip();
    }

    private static Found readAll(ByteBuffer file, List<String> read) {
        ByteBuffer[] body = new ByteBuffer[1];
        Found found = RecordFraming.read(file, body);
        while (found == Found.COMPLETE) {
            read.add(StandardCharsets.UTF_8.decode(body[0]).toString());
            found = RecordFraming.read(file, body);
        }
        return found;
    }

    @Test
    void truncationKeepsCompleteFramesAndReportsATornFrame() {
        ByteBuffer file = createFile();
        List<Integer> ends = new ArrayList<>(List.of(0));
        BODIES.forEach(body -> ends.add(ends.get(ends.size() - 1) + RecordFraming.frameBytes(body.length())));
        for (int cut = 0; cut <= file.limit(); cut++) {
            List<String> read = new ArrayList<>();
            Found found = readAll(file.slice(0, cut), read);
            int fileBytes = cut;
            int completeFrames = (int)
                    ends.stream().filter(end -> end > 0 && end <= fileBytes).count();
            assertThat(read).as("cut at %d", cut).isEqualTo(BODIES.subList(0, completeFrames));
            assertThat(found).as("cut at %d", cut).isEqualTo(ends.contains(cut) ? Found.END : Found.TORN);
        }
    }

    @Test
    void flippedBitIsNeverReadAsAnotherRecord() {
        int bits = createFile().limit() * 8;
        for (int bit = 0; bit < bits; bit++) {
            ByteBuffer file = createFile();
            file.put(bit / 8, (byte) (file.get(bit / 8) ^ 1 << bit % 8));
            List<String> read = new ArrayList<>();
            Found found = readAll(file, read);
            assertThat(found).as("bit %d", bit).isIn(Found.TORN, Found.DAMAGED);
            assertThat(BODIES.subList(0, read.size())).as("bit %d", bit).isEqualTo(read);
        }
    }

    @Test
    void rejectsBodyLongerThanTheLimit() {
        assertThatThrownBy(() -> RecordFraming.write(
                        ByteBuffer.allocate(RecordFraming.MAX_BODY_BYTES + 1), ByteBuffer.allocate(8)))
                .hasMessageContaining("exceeds the limit of " + RecordFraming.MAX_BODY_BYTES + " bytes");
    }
}
