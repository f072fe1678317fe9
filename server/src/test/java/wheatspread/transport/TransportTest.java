package wheatspread.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The channels that clients of other services get from their transport. */
class TransportTest {
    /** Small writes that the system delays would be lost with a reset. */
    @ParameterizedTest
    @ValueSource(strings = {"nio", "auto"})
    void clientChannelsDoNotDelaySmallWrites(String name) throws Exception {
        Channel channel = Transport.named(name).clientChannel().getConstructor().newInstance();
        assertThat(channel.config().getOption(ChannelOption.TCP_NODELAY)).isTrue();
        channel.unsafe().closeForcibly();
    }
}
