package wheatspread.kernel;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.Base64;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;
import wheatspread.core.Kernel;
import wheatspread.logging.EventLog;

/**
 * The session with the kernel, which outlives its connections. A command is kept until the kernel has proven
 * that it read it: the kernel reads a connection in order, so the answer to a gauge request confirms every
 * command before that request, and a notice about a run confirms the commands for that run. What a lost
 * connection may have swallowed is sent again on the next one, but only after all missed notices have been
 * read, so that no run is started twice.
 *
 * <p>All methods run on the event loop. {@link #close} ends the session and its connections.
 */
public final class KernelLink implements Kernel {
    private static final long MIN_RETRY_DELAY_MS = 20;
    private static final long MAX_RETRY_DELAY_MS = 400;
    /** How long to wait for missed notices from a kernel that does not answer the catch-up request. */
    private static final long CATCH_UP_TIMEOUT_MS = 1_000;

    /** How long the old connection may take to confirm its commands before a new one replaces it. */
    private static final long CONFIRM_TIMEOUT_MS = 200;
    /** Gauge requests, one per tick of the admission module, without any line before a connection is closed. */
    private static final int MAX_UNANSWERED_REQUESTS = 100;

    private final EventLoopGroup loop;
    private final Bootstrap clients;
    private final EventLog log;
    private final UnconfirmedCommands unconfirmed = new UnconfirmedCommands();
    private final NoticeReader notices;
    private final KernelConnection.Owner connectionEvents = new ConnectionEvents();
    private InetSocketAddress address;
    /** The connection in use; lines from any other one are dropped. */
    private KernelConnection current;
    /** The connection that is being opened to replace it. */
    private KernelConnection connecting;
    /** The open connection that replaces it once the kernel has confirmed every command sent on it. */
    private KernelConnection replacement;
    /** Whether commands may be sent: the kernel is up and the missed notices have been read. */
    private boolean ready;

    /** Whether the kernel has been up on any connection. */
    private boolean booted;

    private boolean closed;
    /** Whether {@link #open} was called; before that a new address is only recorded. */
    private boolean opened;

    private int unansweredRequests;
    private long retryDelayMs = MIN_RETRY_DELAY_MS;

    /** Creates a closed session; the listener gets every notice exactly once, on the event loop. */
    public KernelLink(Bootstrap clients, InetSocketAddress address, Listener listener, EventLog log) {
        loop = clients.config().group();
        this.clients = clients;
        this.address = address;
        this.log = log;
        notices = new NoticeReader(new SessionProgress(), listener, unconfirmed, log);
    }

    /** Connects to the kernel, and reconnects with backoff whenever the connection is lost. */
    public void open() {
        opened = true;
        if (closed) {
            return;
        }
        connecting = new KernelConnection(address, connectionEvents, log);
        connecting.connect(clients);
    }

    /**
     * Moves the session to a kernel at another address. The old connection serves until the new one is open;
     * commands that it may have swallowed are sent again there, after the missed notices.
     */
    public void moveTo(InetSocketAddress next) {
        if (!next.equals(address)) {
            address = next;
            if (replacement != null) {
                replacement.close();
            }
            retryDelayMs = MIN_RETRY_DELAY_MS;
            if (opened) {
                open();
            }
        }
    }

    /** Closes the connections and stops reconnecting. */
    public void close() {
        closed = true;
        if (replacement != null) {
            replacement.close();
        }
        if (current != null) {
            current.close();
        }
    }

    private void retryLater() {
        loop.schedule(
                () -> {
                    // a connection to an old address still serves, but only until its kernel closes it; a
                    // replacement that waits for confirmations must not be overtaken by another one
                    if (connecting == null
                            && replacement == null
                            && (current == null || !current.address().equals(address))) {
                        open();
                    }
                },
                retryDelayMs,
                TimeUnit.MILLISECONDS);
        retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, retryDelayMs * 2);
    }

    // ---- commands ----

    @Override
    public void run(String job, String kind, byte[] body) {
        command(
                KernelWireNames.START,
                job,
                new JSONObject().put(KernelWireNames.REQUEST_CLASS, kind).put(KernelWireNames.BODY, encode(body)));
    }

    @Override
    public void suspend(String job) {
        command(KernelWireNames.SUSPEND, job, new JSONObject());
    }

    @Override
    public void resume(String job) {
        command(KernelWireNames.RESUME, job, new JSONObject());
    }

    @Override
    public void completeDependencyCall(String job, byte[] reply) {
        command(KernelWireNames.CALL_REPLY, job, new JSONObject().put(KernelWireNames.BODY, encode(reply)));
    }

    @Override
    public void skipDependencyCall(String job, long notice) {
        command(KernelWireNames.SKIP_CALL, job, new JSONObject().put(KernelWireNames.SEQUENCE_NUMBER, notice));
    }

    @Override
    public void requestGauges() {
        if (current != null && booted && ++unansweredRequests > MAX_UNANSWERED_REQUESTS) {
            // a connection that stays open but carries nothing would hide the ends of runs
            log.warn("kernel_silent", "unheard", unansweredRequests);
            current.close();
        } else if (ready) {
            requestGauges(Long.toString(unconfirmed.lastSequenceNumber()));
        }
    }

    /** The answer repeats {@code reference} and confirms every command sent before the request. */
    private void requestGauges(String reference) {
        send(new JSONObject()
                .put(KernelWireNames.TYPE, KernelWireNames.REQUEST_GAUGES)
                .put(KernelWireNames.REFERENCE, reference)
                .toString());
    }

    private void command(String type, String job, JSONObject fields) {
        String line = fields.put(KernelWireNames.TYPE, type)
                .put(KernelWireNames.JOB, job)
                .toString();
        unconfirmed.add(type, job, line);
        if (ready) {
            unconfirmed.sendUnsent(this::send);
        }
    }

    private void send(String line) {
        current.send(line);
    }

    private static String encode(byte[] bytes) {
        return Base64.getEncoder().encodeToString(bytes);
    }

    // ---- the session ----

    /** All missed notices are read: sends, or sends again, what the kernel may not have read. */
    private void becomeReady() {
        if (!ready && replacement == null) {
            ready = true;
            unconfirmed.sendUnsent(this::send);
        }
    }

    /**
     * Replaces a connection that may still serve. The commands sent on the old one are confirmed first, and
     * no more are sent there: a command that the kernel has read must not be sent again, since its run may
     * end at that moment and would be started a second time.
     */
    private void replaceWith(KernelConnection next) {
        if (current == null || !ready || unconfirmed.isEmpty()) {
            switchTo(next);
            return;
        }
        replacement = next;
        ready = false;
        requestGauges(Long.toString(unconfirmed.lastSequenceNumber()));
        loop.schedule(
                () -> {
                    if (replacement == next) {
                        switchTo(next);
                    }
                },
                CONFIRM_TIMEOUT_MS,
                TimeUnit.MILLISECONDS);
    }

    private void switchTo(KernelConnection next) {
        KernelConnection old = current;
        replacement = null;
        current = next;
        ready = false;
        unansweredRequests = 0;
        unconfirmed.markAllUnsent();
        if (old != null) {
            old.close();
        }
        send(new JSONObject()
                .put(KernelWireNames.TYPE, KernelWireNames.RESUME_SESSION)
                .put(KernelWireNames.SEQUENCE_NUMBER, notices.lastSequenceNumber())
                .toString());
    }

    /** What happens on the connections of the session. */
    private final class ConnectionEvents implements KernelConnection.Owner {
        @Override
        public void connectFailed(KernelConnection connection) {
            if (connecting == connection) {
                connecting = null;
                retryLater();
            }
        }

        @Override
        public void connected(KernelConnection connection) {
            if (connecting != connection || closed) {
                connection.close(); // the address changed while it was being opened
                return;
            }
            connecting = null;
            replaceWith(connection);
        }

        @Override
        public void disconnected(KernelConnection connection) {
            if (replacement == connection) {
                replacement = null;
                becomeReady(); // the old connection carries the commands that were held back
                retryLater();
                return;
            }
            if (current == connection && replacement != null && !closed) {
                current = null;
                switchTo(replacement);
                return;
            }
            if (current != connection) {
                return; // the late close of a replaced connection must not drop the new one
            }
            ready = false;
            current = null;
            if (!closed) {
                log.warn("kernel_lost", "notice", notices.lastSequenceNumber());
                if (connecting == null) {
                    retryLater();
                }
            }
        }

        @Override
        public void lineReceived(KernelConnection connection, String line) {
            if (current != connection) {
                return;
            }
            unansweredRequests = 0;
            if (!notices.read(line)) {
                connection.close(); // the next connection requests what this line may have hidden
            }
        }
    }

    /** Follows how far the session has come on the connection in use. */
    private final class SessionProgress implements NoticeReader.Progress {
        @Override
        public void booted() {
            booted = true;
            retryDelayMs = MIN_RETRY_DELAY_MS;
            requestGauges(NoticeReader.CATCH_UP_REFERENCE);
            KernelConnection awaited = current;
            loop.schedule(
                    () -> {
                        if (current == awaited) {
                            becomeReady();
                        }
                    },
                    CATCH_UP_TIMEOUT_MS,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void caughtUp() {
            becomeReady();
        }

        @Override
        public void allConfirmed() {
            if (replacement != null) {
                switchTo(replacement);
            }
        }
    }
}
