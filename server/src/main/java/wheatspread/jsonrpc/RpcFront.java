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
 * The platform's protocol, JSON-RPC 2.0 with one message per line. Holds the state that its connections share.
 * Used on the event loop only.
 */
public final class RpcFront implements Front {
    /** The maximum length of a line; a body of 2 KiB in base64 and the other fields take less than 4 KiB. */
    static final int MAX_LINE_BYTES = 16 * 1024;

    /** The delay before a client that has shut its output is notified a second time that the connection is draining. */
    static final long HALF_CLOSE_REMINDER_MICROS = 50_000;

    private static final int CONNECTION_REJECTED_RETRY_AFTER_MS = 1_000;

    private final Core core;
    private final Clock clock;
    private RequestReader requestReader;
    /** Returns the process's lifecycle phase; null if the method {@code stats} is disabled. */
    private Supplier<String> lifecyclePhase;

    /** Creates a front that submits requests to {@code core} and reads them by the core's settings. */
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
     * Enables the method {@code stats}, which a fleet's supervisor calls to verify a server. It is disabled by
     * default because it is not part of the platform's protocol. {@code lifecyclePhase} is called on the event
     * loop.
     */
    public void enableStats(Supplier<String> lifecyclePhase) {
        this.lifecyclePhase = lifecyclePhase;
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

    /** Uses reloaded settings for the requests that are read after this call. Event loop only. */
    public void applySettings(DeploymentSettings settings) {
        requestReader = new RequestReader(settings);
    }
}
