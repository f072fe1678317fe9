package wheatspread.peers;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.InputStream;
import java.util.Arrays;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import wheatspread.membership.GossipUpdate;
import wheatspread.membership.Message;
import wheatspread.membership.Message.Body;

/** Guards against a format that servers of an earlier version can't read, with encoded messages recorded from it. */
class MessageCompatibilityTest {
    private static final MessageCodec CODEC = new MessageCodec(SampleMessages.CLUSTER, SampleMessages.ADDRESS);

    private static byte[] recorded(String name) throws Exception {
        try (InputStream file =
                MessageCompatibilityTest.class.getResourceAsStream("/compatibility/peers/" + name + ".bin")) {
            return file.readAllBytes();
        }
    }

    @Test
    void recordedMessagesDecodeToTheSamplesAndEncodeToTheSameBytes() throws Exception {
        for (Map.Entry<String, Message> sample : SampleMessages.singleMessages().entrySet()) {
            byte[] bytes = recorded(sample.getKey());
            MessageCodec.Received received = CODEC.decode(bytes);
            assertThat(received.address()).as(sample.getKey()).isEqualTo(SampleMessages.ADDRESS);
            assertThat(received.message()).as(sample.getKey()).isEqualTo(sample.getValue());
            assertThat(CODEC.encode(received.message())).as(sample.getKey()).isEqualTo(bytes);
        }
    }

    @Test
    void samplesCoverEachKindOfBodyAndUpdate() {
        assertThat(classesOf(SampleMessages.bodies())).isEqualTo(Set.of(Body.class.getPermittedSubclasses()));
        assertThat(classesOf(SampleMessages.updates())).isEqualTo(Set.of(GossipUpdate.class.getPermittedSubclasses()));
    }

    private static Set<Class<?>> classesOf(Map<String, ?> samples) {
        return Arrays.stream(samples.values().toArray()).map(Object::getClass).collect(Collectors.toSet());
    }
}
