package wheatspread.lab.world;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;

/**
 * Simulates the kernel of one instance: six cores shared by all runs. It reports every run to the
 * {@link InvariantChecker}. The kernel restarts whenever its server restarts. After every start but the first
 * it is cold, and its speed rises linearly from {@link #COLD_START_SPEED} to full speed within
 * {@link #WARM_UP_MS}. All methods run on the simulation's event loop.
 */
final class SimulatedKernel {
    private static final int CORES = 6;
    private static final double COLD_START_SPEED = 0.2;
    private static final long WARM_UP_MS = 16_000;
    private static final int MAX_RETAINED_NOTICES = 4_000;

    private final String server;
    private final InvariantChecker checker;
    private final boolean successor;
    private final Map<String, Run> runs = new HashMap<>();
    private final Deque<String> notices = new ArrayDeque<>();
    private ChannelHandlerContext link;
    private long lastNoticeNumber;
    private int startCount;
    private long startedAtMillis;
    private long processNumber;
    private boolean coldRestarted;
    private long handshakeDelayMillis;
    private int linkCount;

    private static final class Run {
        double partMillis;
        boolean calls;
        ScheduledFuture<?> end;
        long askedBy;
    }

    /**
     * Creates a kernel that waits for its server's link. {@code successor} is true for the kernel of a second
     * process of the server, which starts while the first process still serves; such a kernel does not reset
     * the checker's state of the server.
     */
    SimulatedKernel(String server, InvariantChecker checker, boolean successor) {
        this.server = server;
        this.checker = checker;
        this.successor = successor;
    }

    /** Returns the number of server processes that have connected so far. */
    int startCount() {
        return startCount;
    }

    /** Returns the number of links opened so far, reconnects included. */
    int linkCount() {
        return linkCount;
    }

    /** Sends {@code BOOTED} to new links {@code millis} after their {@code OPEN}; 0 sends it at once. */
    void delayHandshake(long millis) {
        handshakeDelayMillis = millis;
    }

    /** Slows down to the speed of a cold start; runs in progress continue. */
    void restartCold() {
        coldRestarted = true;
        startedAtMillis = System.currentTimeMillis();
    }

    private boolean isWarmSinceStart() {
        return startCount <= 1 && !coldRestarted;
    }

    private double relativeSpeed() {
        double warmUpProgress = isWarmSinceStart()
                ? 1
                : Math.min(1, (double) (System.currentTimeMillis() - startedAtMillis) / WARM_UP_MS);
        return COLD_START_SPEED + (1 - COLD_START_SPEED) * warmUpProgress;
    }

    private int runsOnCores() {
        return (int) runs.values().stream().filter(run -> run.end != null).count();
    }

    /** Handles one link of the server; only the link opened last is served. */
    final class Link extends SimpleChannelInboundHandler<String> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, String line) {
            JSONObject command = new JSONObject(line);
            if (command.getString("type").equals("OPEN")) {
                open(context, command.getLong("n"));
            } else if (context == link) {
                execute(command, command.optString("job"));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close(); // a killed server resets its link
        }
    }

    private void open(ChannelHandlerContext context, long lastReadNotice) {
        ChannelHandlerContext previous = link;
        link = context;
        linkCount++;
        boolean reconnects = previous != null && previous.channel().isActive();
        // a server process that has read no notice and has no other link has just started
        if (lastReadNotice == 0 && !reconnects) {
            runs.values().forEach(run -> cancel(run));
            runs.clear();
            notices.clear();
            lastNoticeNumber = 0;
            startedAtMillis = System.currentTimeMillis();
            processNumber++;
            startCount++;
            if (!successor) {
                checker.recordStart(server);
            }
        }
        if (reconnects) {
            previous.close(); // the new link replaces the previous one
        }
        if (handshakeDelayMillis == 0) {
            completeHandshake(context, lastReadNotice);
        } else {
            context.executor()
                    .schedule(
                            () -> {
                                if (link == context) {
                                    completeHandshake(context, lastReadNotice);
                                }
                            },
                            handshakeDelayMillis,
                            TimeUnit.MILLISECONDS);
        }
    }

    private void completeHandshake(ChannelHandlerContext context, long lastReadNotice) {
        boolean warm = isWarmSinceStart();
        send(new JSONObject()
                .put("type", "BOOTED")
                .put("state", warm ? "WARM" : "COLD")
                .put("took", System.currentTimeMillis() - startedAtMillis + (warm ? 20_000 : 0)));
        notices.stream()
                .filter(notice -> new JSONObject(notice).getLong("n") > lastReadNotice)
                .forEach(notice -> context.writeAndFlush(notice + "\n"));
    }

    private void execute(JSONObject command, String job) {
        Run run = runs.get(job);
        switch (command.getString("type")) {
            case "SYSINFO" ->
                send(new JSONObject()
                        .put("type", "INFO")
                        .put("ref", command.get("ref"))
                        .put("gauges", List.of(Math.min(1.0, runsOnCores() / (double) CORES), runsOnCores(), 0.1, 20)));
            case "SCHED" -> {
                if (run == null) {
                    schedule(job, command.getString("kind"), command.getString("data"));
                }
            }
            case "PREEMPT" -> {
                if (run != null && run.end != null) {
                    cancel(run);
                    end(job, "STOPPED", null);
                }
            }
            case "IODONE", "NOIO" -> {
                if (run != null && run.end == null) {
                    executePart(job, run, run.partMillis);
                }
            }
            case "RESCHED" ->
                send(new JSONObject()
                        .put("type", "EINVAL")
                        .put("state", "RESCHED")
                        .put("job", job));
            default -> throw new IllegalStateException("unexpected kernel command: " + command);
        }
    }

    private void schedule(String job, String kind, String data) {
        String[] body = new String(java.util.Base64.getDecoder().decode(data), StandardCharsets.UTF_8).split(" ");
        boolean fromUwsgi = body[2].startsWith(UwsgiClients.SUBJECT_PREFIX);
        checker.recordRun(server, fromUwsgi ? body[2] : job, System.currentTimeMillis());
        Run run = new Run();
        run.partMillis = Double.parseDouble(body[1]) / 2;
        run.calls = !kind.equals("search");
        runs.put(job, run);
        executePart(job, run, run.partMillis);
    }

    /** Executes a part of a run, which takes longer on a cold kernel and with more runs than cores. */
    private void executePart(String job, Run run, double millis) {
        double contention = Math.max(1, (runsOnCores() + 1) / (double) CORES);
        long startedIn = processNumber;
        run.end = link.executor()
                .schedule(
                        () -> {
                            if (startedIn == processNumber) {
                                run.end = null;
                                if (run.calls) {
                                    run.calls = false;
                                    sendNotice(new JSONObject()
                                            .put("type", "IOREQ")
                                            .put("job", job)
                                            .put("data", "Y2FsbA=="));
                                } else {
                                    end(job, "OK", "b2s=");
                                }
                            }
                        },
                        (long) (millis * contention / relativeSpeed() * 1_000),
                        TimeUnit.MICROSECONDS);
    }

    private static void cancel(Run run) {
        if (run.end != null) {
            run.end.cancel(false);
            run.end = null;
        }
    }

    private void end(String job, String state, String data) {
        runs.remove(job);
        JSONObject reap = new JSONObject()
                .put("type", "REAP")
                .put("job", job)
                .put("state", state)
                .put("took", 100);
        sendNotice(data == null ? reap : reap.put("data", data));
    }

    private void sendNotice(JSONObject message) {
        String line = message.put("n", ++lastNoticeNumber).toString();
        notices.addLast(line);
        if (notices.size() > MAX_RETAINED_NOTICES) {
            notices.removeFirst();
        }
        link.writeAndFlush(line + "\n");
    }

    private void send(JSONObject message) {
        link.writeAndFlush(message + "\n");
    }
}
