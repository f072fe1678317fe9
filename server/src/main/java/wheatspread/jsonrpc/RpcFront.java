package wheatspread.jsonrpc;

import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;
import wheatspread.core.Clock;
import wheatspread.core.Core;
import wheatspread.core.DeploymentSettings;
import wheatspread.transport.ClientChannelHandler;
import wheatspread.transport.Front;
import wheatspread.transport.Listener;

/** The platform's front: JSON-RPC 2.0, one message a line. */
public final class RpcFront implements Front {
    /** The longest line: a body of 2 KiB in base64 and its fields take under 4 KiB. */
    static final int LONGEST_LINE = 16 * 1024;

    /** A caller that ended its stream is looked after once more after this long; us. */
    static final long HALF_CLOSED_LOOK = 50_000;

    final Core core;
    final Clock clock;
    RequestReader reader;
    /** Tells the phase of the process for the method {@code stats}; null where that is off. */
    Supplier<String> phase;

    public RpcFront(Core core, Clock clock) {
        this.core = core;
        this.clock = clock;
        reader = new RequestReader(core.site());
    }

    /**
     * Has the method {@code stats} answer, on which a fleet's supervisor sees whether a server has proven
     * itself. The platform has no such method, so it is off there.
     */
    public void tellStats(Supplier<String> phaseOfProcess) {
        phase = phaseOfProcess;
    }

    @Override
    public ClientChannelHandler caller(Listener listener) {
        return new RpcConnection(listener, this);
    }

    @Override
    public byte[] refusal() {
        return ("{\"jsonrpc\":\"2.0\",\"id\":null,\"error\":{\"code\":" + RpcConnection.REFUSED
                        + ",\"message\":\"no room for this connection\",\"data\":{\"later\":1000}}}\n")
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Reads the classes of a retuned site from now on; on the loop's thread. */
    public void retune(DeploymentSettings site) {
        reader = new RequestReader(site);
    }
}
