package wheatspread.kernel;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.string.StringDecoder;
import io.netty.handler.codec.string.StringEncoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;
import wheatspread.core.Kernel;
import wheatspread.logging.EventLog;

/**
 * The link to the kernel. Commands are kept until the kernel has shown that it read them: it reads a link in
 * order, so the answer to a question for gauges confirms every command before it, and a notice of a job
 * confirms what was sent for that job. What a lost link may have swallowed is sent again on the next one, but
 * only after all notices that were missed have been read, so that nothing is run a second time.
 */
public final class KernelLink implements Kernel {
    private static final int MAX_LINE_BYTES = 256 * 1024;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final long MIN_RETRY_MS = 20;
    private static final long MAX_RETRY_MS = 400;
    /** How long missed notices are waited for where the kernel does not say that they are through. */
    private static final long CATCH_UP_TIMEOUT_MS = 1_000;

    /** How long the old link may take to confirm what was sent on it before a new one takes its place. */
    private static final long CONFIRM_TIMEOUT_MS = 200;
    /** Questions for gauges in a row, one a tick of the module, without a line after which a link hangs. */
    private static final int MAX_UNANSWERED = 100;

    private final EventLoopGroup loop;
    private final Bootstrap clients;
    private final EventLog log;
    private final UnconfirmedCommands unconfirmed = new UnconfirmedCommands();
    private final NoticeReader notices;
    private InetSocketAddress address;
    /** The link in use; what any other one still brings is dropped. */
    private Connection current;
    /** The link that is to replace it, while it is being opened. */
    private Connection connecting;
    /** The link that replaces it once every command that was sent on it has been confirmed. */
    private Connection replacement;
    /** Commands may go out: the kernel is up and the notices missed have been read. */
    private boolean ready;

    private boolean booted;
    private boolean closed;
    /** The link was asked for; before that a new address is only noted. */
    private boolean opened;

    private int unanswered;
    private long retryMs = MIN_RETRY_MS;

    public KernelLink(Bootstrap clients, InetSocketAddress address, Listener listener, EventLog log) {
        loop = clients.config().group();
        this.clients = clients;
        this.address = address;
        this.log = log;
        notices = new NoticeReader(new Progress(), listener, unconfirmed, log);
    }

    public void open() {
        opened = true;
        if (closed) {
            return;
        }
        Connection next = new Connection(address);
        connecting = next;
        ChannelFuture connected = clients.clone()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline()
                                .addLast(
                                        new LineBasedFrameDecoder(MAX_LINE_BYTES),
                                        new StringDecoder(StandardCharsets.UTF_8),
                                        new StringEncoder(StandardCharsets.UTF_8),
                                        next);
                    }
                })
                .connect(next.to);
        connected.addListener(done -> {
            if (!done.isSuccess() && connecting == next) {
                connecting = null;
                retry();
            }
        });
    }

    /**
     * The kernel is to be reached at another address from now on. The old link serves until the new one is
     * there; commands that it may have swallowed are sent again there, behind the missed notices.
     */
    public void moveTo(InetSocketAddress next) {
        if (!next.equals(address)) {
            address = next;
            if (replacement != null) {
                replacement.channel.close();
            }
            retryMs = MIN_RETRY_MS;
            if (opened) {
                open();
            }
        }
    }

    public void close() {
        closed = true;
        if (replacement != null) {
            replacement.channel.close();
        }
        if (current != null) {
            current.channel.close();
        }
    }

    private void retry() {
        loop.schedule(
                () -> {
                    // an old address's link still serves, but only until its kernel closes it;
                    // one that waits for its word must not be overtaken by another
                    if (connecting == null && replacement == null && (current == null || !current.to.equals(address))) {
                        open();
                    }
                },
                retryMs,
                TimeUnit.MILLISECONDS);
        retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
    }

    // ---- commands ----

    @Override
    public void run(String job, String kind, byte[] body) {
        command("SCHED", job, new JSONObject().put("kind", kind).put("data", encode(body)));
    }

    @Override
    public void pause(String job) {
        command("PREEMPT", job, new JSONObject());
    }

    @Override
    public void resume(String job) {
        command("RESCHED", job, new JSONObject());
    }

    @Override
    public void callDone(String job, byte[] reply) {
        command("IODONE", job, new JSONObject().put("data", encode(reply)));
    }

    @Override
    public void skipCall(String job, long notice) {
        command("NOIO", job, new JSONObject().put("n", notice));
    }

    @Override
    public void askGauges() {
        if (current != null && booted && ++unanswered > MAX_UNANSWERED) {
            // guards against a link that stays open and carries nothing: the ends of runs would not be noticed
            log.warn("kernel_silent", "unheard", unanswered);
            current.channel.close();
        } else if (ready) {
            askGauges(Long.toString(unconfirmed.last()));
        }
    }

    /** The answer brings {@code ref} back, and confirms all that was sent before the question. */
    private void askGauges(String ref) {
        send(new JSONObject().put("type", "SYSINFO").put("ref", ref).toString());
    }

    private void command(String type, String job, JSONObject fields) {
        String line = fields.put("type", type).put("job", job).toString();
        unconfirmed.add(type, job, line);
        if (ready) {
            unconfirmed.sendUnsent(this::send);
        }
    }

    private void send(String line) {
        current.channel.writeAndFlush(line + "\n", current.channel.voidPromise());
    }

    private static String encode(byte[] bytes) {
        return Base64.getEncoder().encodeToString(bytes);
    }

    /** All missed notices are read: sends, or resends, what the kernel may not have read on this link. */
    private void becomeReady() {
        if (!ready && replacement == null) {
            ready = true;
            unconfirmed.sendUnsent(this::send);
        }
    }

    /**
     * A new link may take the place of one that still serves. What was sent on the old one is confirmed
     * first, and nothing more is sent there: a command that was read must not be sent again, since its run
     * may end at that moment, and would be a second one.
     */
    private void replace(Connection next) {
        if (current == null || !ready || unconfirmed.isEmpty()) {
            switchTo(next);
            return;
        }
        replacement = next;
        ready = false;
        askGauges(Long.toString(unconfirmed.last()));
        loop.schedule(
                () -> {
                    if (replacement == next) {
                        switchTo(next);
                    }
                },
                CONFIRM_TIMEOUT_MS,
                TimeUnit.MILLISECONDS);
    }

    private void switchTo(Connection next) {
        Connection old = current;
        replacement = null;
        current = next;
        ready = false;
        unanswered = 0;
        unconfirmed.resendAll();
        if (old != null) {
            old.channel.close();
        }
        send(new JSONObject().put("type", "OPEN").put("n", notices.last()).toString());
    }

    // ---- connections ----

    /** One connection to the kernel; a later one replaces it. */
    private final class Connection extends SimpleChannelInboundHandler<String> {
        private final InetSocketAddress to;
        private Channel channel;

        Connection(InetSocketAddress to) {
            this.to = to;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            if (connecting != this || closed) {
                channel.close(); // the address changed while it was being opened
                return;
            }
            connecting = null;
            replace(this);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (replacement == this) {
                replacement = null;
                becomeReady(); // the old one goes on with what was not sent there yet
                retry();
                return;
            }
            if (current == this && replacement != null && !closed) {
                current = null;
                switchTo(replacement);
                return;
            }
            if (current != this) {
                return; // a late close of a link that was replaced must not drop the new one
            }
            ready = false;
            current = null;
            if (!closed) {
                log.warn("kernel_lost", "notice", notices.last());
                if (connecting == null) {
                    retry();
                }
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, String line) {
            if (current != this) {
                return;
            }
            unanswered = 0;
            if (!notices.read(line)) {
                channel.close(); // the next link asks for what this line may have hidden
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            log.warn("kernel_link_failed", "error", cause);
            ctx.close();
        }
    }

    /** How far the link in use has come, as its notices tell. */
    private final class Progress implements NoticeReader.Progress {
        @Override
        public void booted() {
            booted = true;
            retryMs = MIN_RETRY_MS;
            askGauges(NoticeReader.SYNC);
            Connection asked = current;
            loop.schedule(
                    () -> {
                        if (current == asked) {
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
