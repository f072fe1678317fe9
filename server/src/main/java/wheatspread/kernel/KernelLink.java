package wheatspread.kernel;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.Base64;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;
import wheatspread.admission.Idempotency;
import wheatspread.core.DependencyReply;
import wheatspread.core.Kernel;
import wheatspread.logging.EventLog;

/**
 * The session with the kernel, which spans several connections. A command is stored until the kernel has confirmed
 * that it was read. The kernel reads a connection in order, so the answer to a gauge request confirms every command
 * sent before that request, and a notice about a run confirms the commands for that run.
 *
 * <p>Commands that may have been lost with a connection are sent again on the next connection, after the missed
 * notices have been read, unless a repetition could take effect twice. The missed notices do not exclude that: a run
 * may end between the answer to the gauge request and the repeated command, and the kernel starts a run anew that has
 * ended. So a run that must not be started twice is not started again, and the listener is notified that it may not
 * have been started. A reply has no number, so the run's next call could receive a repeated one: if the call may be
 * skipped, the skip command is sent instead, which names the call, and otherwise the listener is notified.
 *
 * <p>All methods must be called on the event loop. {@link #close} ends the session and its connections.
 */
public final class KernelLink implements Kernel {
    private static final long MIN_RETRY_DELAY_MS = 20;
    private static final long MAX_RETRY_DELAY_MS = 400;
    /**
     * The longest wait for missed notices on a new connection, if the kernel does not answer the gauge request that is
     * sent first on that connection.
     */
    private static final long CATCH_UP_TIMEOUT_MS = 1_000;

    /** The longest wait for the kernel to confirm the commands of a connection before that connection is replaced. */
    private static final long CONFIRM_TIMEOUT_MS = 200;
    /**
     * A connection is closed after more than this number of gauge requests without a received line. A request is sent
     * at each tick of the admission controller.
     */
    private static final int MAX_UNANSWERED_REQUESTS = 100;

    private final EventLoopGroup loop;
    private final Bootstrap bootstrap;
    private final EventLog log;
    private final UnconfirmedCommands unconfirmed = new UnconfirmedCommands();
    private final Listener listener;
    private final NoticeReader notices;
    private final KernelConnection.Owner connectionEvents = new ConnectionEvents();
    private InetSocketAddress address;
    /** The connection in use; lines from other connections are ignored. */
    private KernelConnection current;
    /** The connection that is being established to replace {@link #current}. */
    private KernelConnection connecting;
    /** The established connection that replaces {@link #current} once the kernel has confirmed all its commands. */
    private KernelConnection replacement;
    /** Whether commands may be sent, since the kernel is up and the missed notices have been read. */
    private boolean ready;

    /** Whether the kernel has reported on any connection that it is up. */
    private boolean booted;

    private boolean closed;
    /** Whether {@link #open} was called; before that {@link #moveTo} only stores the new address. */
    private boolean opened;

    private int unansweredRequests;
    private long retryDelayMs = MIN_RETRY_DELAY_MS;

    /** Creates a session that is not open yet; the listener receives every notice exactly once, on the event loop. */
    public KernelLink(Bootstrap bootstrap, InetSocketAddress address, Listener listener, EventLog log) {
        loop = bootstrap.config().group();
        this.bootstrap = bootstrap;
        this.address = address;
        this.log = log;
        this.listener = listener;
        notices = new NoticeReader(new SessionProgress(), listener, unconfirmed, log);
    }

    /** Connects to the kernel, and reconnects with exponential backoff whenever the connection is lost. */
    public void open() {
        opened = true;
        if (closed) {
            return;
        }
        connecting = new KernelConnection(address, connectionEvents, log);
        connecting.connect(bootstrap);
    }

    /**
     * Moves the session to a kernel at another address. The old connection is used until the new connection is
     * established. Commands that may have been lost on the old connection are treated as after a reconnect.
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
                    // a connection to an old address is usable only until the old kernel closes it, so a retry is
                    // made in spite of that connection; a replacement that waits for confirmations must not be
                    // replaced in turn
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
    public void run(String job, String requestClass, Idempotency idempotency, byte[] body) {
        JSONObject fields = new JSONObject()
                .put(KernelWireNames.REQUEST_CLASS, requestClass)
                .put(KernelWireNames.BODY, encode(body));
        String line = command(KernelWireNames.START, job, fields);
        if (idempotency == Idempotency.IDEMPOTENT) {
            unconfirmed.addRepeatable(KernelWireNames.START, job, line);
        } else {
            unconfirmed.addOnce(KernelWireNames.START, job, line);
        }
        sendIfReady();
    }

    @Override
    public void suspend(String job) {
        issueRepeatable(KernelWireNames.SUSPEND, job, new JSONObject());
    }

    @Override
    public void resume(String job) {
        issueRepeatable(KernelWireNames.RESUME, job, new JSONObject());
    }

    @Override
    public void completeDependencyCall(String job, DependencyReply reply) {
        JSONObject fields = new JSONObject().put(KernelWireNames.BODY, encode(reply.body()));
        String line = command(KernelWireNames.CALL_REPLY, job, fields);
        if (reply.skippable()) {
            unconfirmed.addReplaceable(KernelWireNames.CALL_REPLY, job, line, skipCommand(job, reply.noticeNumber()));
        } else {
            unconfirmed.addOnce(KernelWireNames.CALL_REPLY, job, line);
        }
        sendIfReady();
    }

    @Override
    public void skipDependencyCall(String job, long noticeNumber) {
        unconfirmed.addRepeatable(KernelWireNames.SKIP_CALL, job, skipCommand(job, noticeNumber));
        sendIfReady();
    }

    private static String skipCommand(String job, long noticeNumber) {
        JSONObject fields = new JSONObject().put(KernelWireNames.SEQUENCE_NUMBER, noticeNumber);
        return command(KernelWireNames.SKIP_CALL, job, fields);
    }

    @Override
    public void requestGauges() {
        if (current != null && booted && ++unansweredRequests > MAX_UNANSWERED_REQUESTS) {
            // a connection that stays open without delivering lines would lose the notices of ended runs
            log.warn("kernel_silent", "unheard", unansweredRequests);
            current.close();
        } else if (ready) {
            requestGauges(Long.toString(unconfirmed.lastSequenceNumber()));
        }
    }

    /** Requests the gauges. The answer repeats {@code reference} and confirms all commands sent before the request. */
    private void requestGauges(String reference) {
        send(new JSONObject()
                .put(KernelWireNames.TYPE, KernelWireNames.REQUEST_GAUGES)
                .put(KernelWireNames.REFERENCE, reference)
                .toString());
    }

    private void issueRepeatable(String type, String job, JSONObject fields) {
        unconfirmed.addRepeatable(type, job, command(type, job, fields));
        sendIfReady();
    }

    private static String command(String type, String job, JSONObject fields) {
        return fields.put(KernelWireNames.TYPE, type)
                .put(KernelWireNames.JOB, job)
                .toString();
    }

    private void sendIfReady() {
        if (ready) {
            sendUnsent();
        }
    }

    private void sendUnsent() {
        for (String job : unconfirmed.sendUnsent(this::send)) {
            log.warn("kernel_run_uncertain", "job", job);
            listener.onRunUncertain(job);
        }
    }

    private void send(String line) {
        current.send(line);
    }

    private static String encode(byte[] bytes) {
        return Base64.getEncoder().encodeToString(bytes);
    }

    // ---- the session ----

    /** Starts to send commands after all missed notices have been read, beginning with the unconfirmed commands. */
    private void becomeReady() {
        if (!ready && replacement == null) {
            ready = true;
            sendUnsent();
        }
    }

    /**
     * Replaces a connection that may still be usable. First the kernel has to confirm the commands sent on the old
     * connection, on which no more commands are sent, since a command without a confirmation may not be repeatable.
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

    /** Handles the events of the session's connections. */
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
                connection.close(); // the address changed, or the session was closed, during the connect
                return;
            }
            connecting = null;
            replaceWith(connection);
        }

        @Override
        public void disconnected(KernelConnection connection) {
            if (replacement == connection) {
                replacement = null;
                becomeReady(); // sends the commands that were held back on the old connection
                retryLater();
                return;
            }
            if (current == connection && replacement != null && !closed) {
                current = null;
                switchTo(replacement);
                return;
            }
            if (current != connection) {
                return; // a replaced connection that closes late must not affect the new connection
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
                connection.close(); // the next connection requests the notice that the unreadable line may contain
            }
        }
    }

    /** Tracks the progress of the session on the connection in use. */
    private final class SessionProgress implements NoticeReader.Progress {
        @Override
        public void booted() {
            booted = true;
            retryDelayMs = MIN_RETRY_DELAY_MS;
            requestGauges(NoticeReader.CATCH_UP_REFERENCE);
            KernelConnection bootedConnection = current;
            loop.schedule(
                    () -> {
                        if (current == bootedConnection) {
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
