package wheatspread.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What the links to the parties get from their transport. */
class TransportTest {
    /** Small writes that the system still held back would be lost with a reset. */
    @ParameterizedTest
    @ValueSource(strings = {"nio", "auto"})
    void linksHoldNoSmallWritesBack(String name) throws Exception {
        Channel link = Transport.named(name).clientChannel().getConstructor().newInstance();
        assertThat(link.config().getOption(ChannelOption.TCP_NODELAY)).isTrue();
        link.unsafe().closeForcibly();
    }
}
