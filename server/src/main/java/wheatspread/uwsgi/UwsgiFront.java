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
 * The uwsgi protocol. Its requests go to the same core and are subject to the same admission rules as those of
 * the platform's protocol. Holds the state that its connections share. Used on the event loop only.
 */
public final class UwsgiFront implements Front {
    private final Core core;
    private final Clock clock;
    private final UwsgiConfig config;
    private VarsReader varsReader;
    private long lastJobId;

    /**
     * Creates a front that submits requests to {@code core}. The seed determines the first job id; it should
     * differ between processes, so that job ids are not repeated.
     */
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

    /** Uses reloaded settings for the requests that are read after this call. Event loop only. */
    public void applySettings(DeploymentSettings settings) {
        varsReader = newVarsReader(settings);
    }

    /** Creates a reader for these settings that continues this front's sequence of job ids. */
    private VarsReader newVarsReader(DeploymentSettings settings) {
        return new VarsReader(settings, config, () -> String.format("%016x", ++lastJobId));
    }
}
