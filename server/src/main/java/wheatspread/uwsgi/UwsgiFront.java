package wheatspread.uwsgi;

import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import wheatspread.config.UwsgiConfig;
import wheatspread.core.Clock;
import wheatspread.core.Core;
import wheatspread.core.DeploymentSettings;
import wheatspread.transport.ClientChannelHandler;
import wheatspread.transport.Front;
import wheatspread.transport.Listener;

/** The second front: the uwsgi protocol, on the same core and under the same rules. */
public final class UwsgiFront implements Front {
    final Core core;
    final Clock clock;
    final UwsgiConfig config;
    VarsReader reader;
    private long lastJob;

    /** The seed only keeps the names of this front's jobs apart from those of another life. */
    public UwsgiFront(Core core, Clock clock, UwsgiConfig config, long seed) {
        this.core = core;
        this.clock = clock;
        this.config = config;
        lastJob = new SplittableRandom(seed).nextLong();
        reader = readerOf(core.site());
    }

    @Override
    public ClientChannelHandler caller(Listener listener) {
        return new UwsgiConnection(listener, this);
    }

    @Override
    public byte[] refusal() {
        return ("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 1\r\n"
                        + "Connection: close\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Reads the classes of a retuned site from now on; on the loop's thread. */
    public void retune(DeploymentSettings site) {
        reader = readerOf(site);
    }

    /** A reader of the classes of {@code site}, whose jobs go on from the names this front gave. */
    private VarsReader readerOf(DeploymentSettings site) {
        return new VarsReader(site, config, () -> String.format("%016x", ++lastJob));
    }
}
