package wheatspread.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the client channels that a transport provides for connections to other services. */
class TransportTest {
    /** A small write that the operating system delays (Nagle's algorithm) would be lost if the connection is reset. */
    @ParameterizedTest
    @ValueSource(strings = {"nio", "auto"})
    void clientChannelsDoNotDelaySmallWrites(String name) throws Exception {
        Channel channel = Transport.named(name).clientChannel().getConstructor().newInstance();
        assertThat(channel.config().getOption(ChannelOption.TCP_NODELAY)).isTrue();
        channel.unsafe().closeForcibly();
    }
}
