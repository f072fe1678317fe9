package wheatspread.uwsgi;

import io.netty.channel.EventLoop;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import wheatspread.config.UwsgiConfig;
import wheatspread.core.Clock;
import wheatspread.core.Core;
import wheatspread.sockets.Listener;

/** The second front: the uwsgi protocol, on the same core and under the same rules. */
public final class UwsgiFront {
    private final Listener listener;
    private long lastJob;

    /** The seed only keeps the names of this front's jobs apart from those of another life. */
    public UwsgiFront(EventLoop loop, Core core, Clock clock, UwsgiConfig config, long seed,
                      Consumer<String> log) {
        lastJob = new SplittableRandom(seed).nextLong();
        VarsReader reader = new VarsReader(core.site(), config, () -> String.format("%016x", ++lastJob));
        listener = new Listener(loop, clock, config.mostConnections(), channel -> {
            UwsgiDecoder decoder = new UwsgiDecoder(config.mostVars(), config.mostBody());
            channel.pipeline().addLast(decoder, new UwsgiEncoder(),
                new UwsgiConnection(listener(), core, clock, config, reader, decoder, log));
        });
    }

    public Listener listener() {
        return listener;
    }
}
