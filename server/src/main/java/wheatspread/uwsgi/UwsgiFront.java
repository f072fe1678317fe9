package wheatspread.uwsgi;

import java.nio.charset.StandardCharsets;
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
    private final WantedVars wantedVars;
    private VarsReader varsReader;
    private long nextJobId;

    /**
     * Creates a front that submits requests to {@code core}. Job ids are numbered from {@code firstJobId}, which must
     * be drawn at random by each process: the kernel ignores the start of a job that runs already, so a job id of
     * an earlier process would get the result of that process's run.
     */
    public UwsgiFront(Core core, Clock clock, UwsgiConfig config, long firstJobId) {
        this.core = core;
        this.clock = clock;
        this.config = config;
        wantedVars = WantedVars.of(config.vars());
        nextJobId = firstJobId;
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

    WantedVars wantedVars() {
        return wantedVars;
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
        return new VarsReader(settings, config, () -> String.format("%016x", nextJobId++));
    }
}
