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

/**
 * The uwsgi protocol, on the same core and under the same rules as the platform's protocol. Holds what all its
 * connections share; used on the event loop only.
 */
public final class UwsgiFront implements Front {
    private final Core core;
    private final Clock clock;
    private final UwsgiConfig config;
    private VarsReader varsReader;
    private long lastJobId;

    /** The seed only keeps the ids of this front's jobs apart from those of an earlier process. */
    public UwsgiFront(Core core, Clock clock, UwsgiConfig config, long seed) {
        this.core = core;
        this.clock = clock;
        this.config = config;
        lastJobId = new SplittableRandom(seed).nextLong();
        varsReader = newVarsReader(core.settings());
    }

    Core core() {
        return core;
    }

    Clock clock() {
        return clock;
    }

    UwsgiConfig config() {
        return config;
    }

    VarsReader varsReader() {
        return varsReader;
    }

    @Override
    public ClientChannelHandler newHandler(Listener listener) {
        return new UwsgiConnection(listener, this);
    }

    @Override
    public byte[] rejectionBytes() {
        return ("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 1\r\n"
                        + "Connection: close\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Reads further requests by the classes of reloaded settings; on the loop's thread. */
    public void retune(DeploymentSettings settings) {
        varsReader = newVarsReader(settings);
    }

    /** A reader for these settings that continues the job ids of this front. */
    private VarsReader newVarsReader(DeploymentSettings settings) {
        return new VarsReader(settings, config, () -> String.format("%016x", ++lastJobId));
    }
}
