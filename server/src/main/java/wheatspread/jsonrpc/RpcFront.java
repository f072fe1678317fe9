package wheatspread.jsonrpc;

import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;
import wheatspread.core.Clock;
import wheatspread.core.Core;
import wheatspread.core.DeploymentSettings;
import wheatspread.transport.ClientChannelHandler;
import wheatspread.transport.Front;
import wheatspread.transport.Listener;

/**
 * The platform's protocol: JSON-RPC 2.0, one message per line. Holds what all its connections share; used on
 * the event loop only.
 */
public final class RpcFront implements Front {
    /** The longest line: a body of 2 KiB in base64 and its fields take under 4 KiB. */
    static final int MAX_LINE_BYTES = 16 * 1024;

    /** When a caller that has shut its output is notified once more that its connection is draining. */
    static final long HALF_CLOSE_REMINDER_MICROS = 50_000;

    private static final int CONNECTION_REJECTED_RETRY_AFTER_MS = 1_000;

    private final Core core;
    private final Clock clock;
    private RequestReader requestReader;
    /** The phase of the process's lifecycle; null where the method {@code stats} is off. */
    private Supplier<String> lifecyclePhase;

    /** Submits requests to {@code core}, whose settings it reads them by. */
    public RpcFront(Core core, Clock clock) {
        this.core = core;
        this.clock = clock;
        requestReader = new RequestReader(core.settings());
    }

    Core core() {
        return core;
    }

    Clock clock() {
        return clock;
    }

    RequestReader requestReader() {
        return requestReader;
    }

    boolean statsEnabled() {
        return lifecyclePhase != null;
    }

    String lifecyclePhase() {
        return lifecyclePhase.get();
    }

    /**
     * Switches on the method {@code stats}, by which a fleet's supervisor sees whether a server has proven
     * itself. The platform knows no such method, so it is off by default.
     */
    public void enableStats(Supplier<String> phaseOfProcess) {
        lifecyclePhase = phaseOfProcess;
    }

    @Override
    public ClientChannelHandler newHandler(Listener listener) {
        return new RpcConnection(listener, this);
    }

    @Override
    public byte[] rejectionBytes() {
        return ("{\"jsonrpc\":\"2.0\",\"id\":null,\"error\":{\"code\":" + RpcWireNames.REJECTED
                        + ",\"message\":\"no room for this connection\",\"data\":{\""
                        + RpcWireNames.RETRY_AFTER_MS + "\":" + CONNECTION_REJECTED_RETRY_AFTER_MS + "}}}\n")
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Reads further requests by the classes of reloaded settings; on the loop's thread. */
    public void retune(DeploymentSettings settings) {
        requestReader = new RequestReader(settings);
    }
}
