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
 * order, so the answer to a question for gauges vouches for every command before it, and a notice of a job
 * vouches for what was said of that job. What a lost link may have swallowed is said again on the next one,
 * but only after all notices that were missed have been read, so that nothing is run a second time.
 */
public final class KernelLink implements Kernel {
    private static final int LONGEST_LINE = 256 * 1024;
    private static final int CONNECT_MS = 1_000;
    private static final long FIRST_RETRY_MS = 20;
    private static final long LONGEST_RETRY_MS = 400;
    /** How long missed notices are waited for where the kernel does not say that they are through. */
    private static final long SYNC_MS = 1_000;

    /** How long the old link may take to vouch for what was said on it before a new one takes its place. */
    private static final long VOUCH_MS = 200;
    /** Questions for gauges in a row, one a tick of the module, without a line after which a link hangs. */
    private static final int UNHEARD_MOST = 100;

    private final EventLoopGroup loop;
    private final Bootstrap clients;
    private final EventLog log;
    private final Unconfirmed unconfirmed = new Unconfirmed();
    private final NoticeReader notices;
    private InetSocketAddress address;
    /** The link in use; what any other one still brings is dropped. */
    private Connection current;
    /** The link that is to replace it, while it is being opened. */
    private Connection opening;
    /** The link that replaces it once it has vouched for every command that was said on it. */
    private Connection waiting;
    /** Commands may go out: the kernel is up and the notices missed have been read. */
    private boolean ready;

    private boolean booted;
    private boolean closed;
    /** The link was asked for; before that a new address is only noted. */
    private boolean opened;

    private int unheard;
    private long retryMs = FIRST_RETRY_MS;

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
        opening = next;
        ChannelFuture connecting = clients.clone()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline()
                                .addLast(
                                        new LineBasedFrameDecoder(LONGEST_LINE),
                                        new StringDecoder(StandardCharsets.UTF_8),
                                        new StringEncoder(StandardCharsets.UTF_8),
                                        next);
                    }
                })
                .connect(next.to);
        connecting.addListener(done -> {
            if (!done.isSuccess() && opening == next) {
                opening = null;
                retry();
            }
        });
    }

    /**
     * The kernel is to be reached at another address from now on. The old link serves until the new one is
     * there; commands that it may have swallowed are said again there, behind the missed notices.
     */
    public void moveTo(InetSocketAddress next) {
        if (!next.equals(address)) {
            address = next;
            if (waiting != null) {
                waiting.channel.close();
            }
            retryMs = FIRST_RETRY_MS;
            if (opened) {
                open();
            }
        }
    }

    public void close() {
        closed = true;
        if (waiting != null) {
            waiting.channel.close();
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
                    if (opening == null && waiting == null && (current == null || !current.to.equals(address))) {
                        open();
                    }
                },
                retryMs,
                TimeUnit.MILLISECONDS);
        retryMs = Math.min(LONGEST_RETRY_MS, retryMs * 2);
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
        if (current != null && booted && ++unheard > UNHEARD_MOST) {
            // guards against a link that stays open and carries nothing: runs would end unheard
            log.warn("kernel_silent", "unheard", unheard);
            current.channel.close();
        } else if (ready) {
            askGauges(Long.toString(unconfirmed.last()));
        }
    }

    /** The answer brings {@code ref} back, and vouches for all that was said before the question. */
    private void askGauges(String ref) {
        say(new JSONObject().put("type", "SYSINFO").put("ref", ref).toString());
    }

    private void command(String type, String job, JSONObject fields) {
        String line = fields.put("type", type).put("job", job).toString();
        unconfirmed.add(type, job, line);
        if (ready) {
            unconfirmed.say(this::say);
        }
    }

    private void say(String line) {
        current.channel.writeAndFlush(line + "\n", current.channel.voidPromise());
    }

    private static String encode(byte[] bytes) {
        return Base64.getEncoder().encodeToString(bytes);
    }

    /** All missed notices are read: says, or says again, what the kernel may not have heard on this link. */
    private void becomeReady() {
        if (!ready && waiting == null) {
            ready = true;
            unconfirmed.say(this::say);
        }
    }

    /**
     * A new link may take the place of one that still serves. What was said on the old one is vouched for
     * first, and nothing more is said there: a command that was read must not be said again, since its run
     * may end at that moment, and would be a second one.
     */
    private void replace(Connection next) {
        if (current == null || !ready || unconfirmed.isEmpty()) {
            use(next);
            return;
        }
        waiting = next;
        ready = false;
        askGauges(Long.toString(unconfirmed.last()));
        loop.schedule(
                () -> {
                    if (waiting == next) {
                        use(next);
                    }
                },
                VOUCH_MS,
                TimeUnit.MILLISECONDS);
    }

    private void use(Connection next) {
        Connection old = current;
        waiting = null;
        current = next;
        ready = false;
        unheard = 0;
        unconfirmed.sayAgain();
        if (old != null) {
            old.channel.close();
        }
        say(new JSONObject().put("type", "OPEN").put("n", notices.last()).toString());
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
            if (opening != this || closed) {
                channel.close(); // the address changed while it was being opened
                return;
            }
            opening = null;
            replace(this);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (waiting == this) {
                waiting = null;
                becomeReady(); // the old one goes on with what was not said there yet
                retry();
                return;
            }
            if (current == this && waiting != null && !closed) {
                current = null;
                use(waiting);
                return;
            }
            if (current != this) {
                return; // a late close of a link that was replaced must not drop the new one
            }
            ready = false;
            current = null;
            if (!closed) {
                log.warn("kernel_lost", "notice", notices.last());
                if (opening == null) {
                    retry();
                }
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, String line) {
            if (current != this) {
                return;
            }
            unheard = 0;
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
            retryMs = FIRST_RETRY_MS;
            askGauges(NoticeReader.SYNC);
            Connection asked = current;
            loop.schedule(
                    () -> {
                        if (current == asked) {
                            becomeReady();
                        }
                    },
                    SYNC_MS,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void caughtUp() {
            becomeReady();
        }

        @Override
        public void allConfirmed() {
            if (waiting != null) {
                use(waiting);
            }
        }
    }
}
