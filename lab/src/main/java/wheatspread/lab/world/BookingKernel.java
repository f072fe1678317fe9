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
 * The kernel of one instance: six cores that all runs share, cold after every start of the server but the
 * first, and every run booked. It starts anew with the server, as kernels do. Its speed rises evenly from
 * {@link #COLD_FROM} to the whole in {@link #COLD_MS}.
 */
final class BookingKernel {
    private static final int CORES = 6;
    private static final double COLD_FROM = 0.2;
    private static final long COLD_MS = 16_000;
    private static final int KEPT = 4_000;

    private final String server;
    private final InvariantChecker ledger;
    private final boolean heir;
    private final Map<String, Run> runs = new HashMap<>();
    private final Deque<String> notices = new ArrayDeque<>();
    private ChannelHandlerContext link;
    private long lastNotice;
    private int starts;
    private long startedAt;
    private long process;
    private boolean chilled;
    private long bootedAfter;
    private int links;

    /** One job. */
    private static final class Run {
        double left;
        boolean calls;
        ScheduledFuture<?> end;
        long askedBy;
    }

    /** {@code heir}: of a second process of the server, which comes while the first one still serves. */
    BookingKernel(String server, InvariantChecker ledger, boolean heir) {
        this.server = server;
        this.ledger = ledger;
        this.heir = heir;
    }

    /** How many processes have linked. */
    int starts() {
        return starts;
    }

    /** How many links have been opened. */
    int links() {
        return links;
    }

    /** LinkModel get {@code BOOTED} only so many milliseconds after their {@code OPEN} from now on. */
    void bootLate(long millis) {
        bootedAfter = millis;
    }

    /** Works as one that has just been started cold; runs go on. */
    void chill() {
        chilled = true;
        startedAt = System.currentTimeMillis();
    }

    private boolean warmFromTheStart() {
        return starts <= 1 && !chilled;
    }

    private double speed() {
        double warmed =
                warmFromTheStart() ? 1 : Math.min(1, (double) (System.currentTimeMillis() - startedAt) / COLD_MS);
        return COLD_FROM + (1 - COLD_FROM) * warmed;
    }

    private int onCores() {
        return (int) runs.values().stream().filter(one -> one.end != null).count();
    }

    /** A link of the server. */
    final class Link extends SimpleChannelInboundHandler<String> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, String line) {
            JSONObject command = new JSONObject(line);
            if (command.getString("type").equals("OPEN")) {
                open(context, command.getLong("n"));
            } else if (context == link) {
                carryOut(command, command.optString("job"));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close(); // a server that was ended outright resets its link
        }
    }

    private void open(ChannelHandlerContext context, long lastRead) {
        ChannelHandlerContext before = link;
        link = context;
        links++;
        boolean same = before != null && before.channel().isActive();
        if (lastRead == 0 && !same) { // a server that has read nothing, on its only link, has just started
            runs.values().forEach(one -> cancel(one));
            runs.clear();
            notices.clear();
            lastNotice = 0;
            startedAt = System.currentTimeMillis();
            process++;
            starts++;
            if (!heir) {
                ledger.begins(server);
            }
        }
        if (same) {
            before.close(); // the new one replaces it
        }
        if (bootedAfter == 0) {
            boot(context, lastRead);
        } else {
            context.executor()
                    .schedule(
                            () -> {
                                if (link == context) {
                                    boot(context, lastRead);
                                }
                            },
                            bootedAfter,
                            TimeUnit.MILLISECONDS);
        }
    }

    private void boot(ChannelHandlerContext context, long lastRead) {
        boolean warm = warmFromTheStart();
        send(new JSONObject()
                .put("type", "BOOTED")
                .put("state", warm ? "WARM" : "COLD")
                .put("took", System.currentTimeMillis() - startedAt + (warm ? 20_000 : 0)));
        notices.stream()
                .filter(one -> new JSONObject(one).getLong("n") > lastRead)
                .forEach(one -> context.writeAndFlush(one + "\n"));
    }

    private void carryOut(JSONObject command, String job) {
        Run run = runs.get(job);
        switch (command.getString("type")) {
            case "SYSINFO" ->
                send(new JSONObject()
                        .put("type", "INFO")
                        .put("ref", command.get("ref"))
                        .put("gauges", List.of(Math.min(1.0, onCores() / (double) CORES), onCores(), 0.1, 20)));
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
                    work(job, run, run.left);
                }
            }
            case "RESCHED" ->
                send(new JSONObject()
                        .put("type", "EINVAL")
                        .put("state", "RESCHED")
                        .put("job", job));
            default -> throw new IllegalStateException(command.toString());
        }
    }

    private void schedule(String job, String kind, String data) {
        ledger.ran(server, job, System.currentTimeMillis());
        String[] body = new String(java.util.Base64.getDecoder().decode(data), StandardCharsets.UTF_8).split(" ");
        Run run = new Run();
        run.left = Double.parseDouble(body[1]) / 2;
        run.calls = !kind.equals("search");
        runs.put(job, run);
        work(job, run, run.left);
    }

    /** Part of the work, by the speed and the crowd of this moment. */
    private void work(String job, Run run, double millis) {
        double crowd = Math.max(1, (onCores() + 1) / (double) CORES);
        long of = process;
        run.end = link.executor()
                .schedule(
                        () -> {
                            if (of == process) {
                                run.end = null;
                                if (run.calls) {
                                    run.calls = false;
                                    notice(new JSONObject()
                                            .put("type", "IOREQ")
                                            .put("job", job)
                                            .put("data", "Y2FsbA=="));
                                } else {
                                    end(job, "OK", "b2s=");
                                }
                            }
                        },
                        (long) (millis * crowd / speed() * 1_000),
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
        notice(data == null ? reap : reap.put("data", data));
    }

    private void notice(JSONObject message) {
        String line = message.put("n", ++lastNotice).toString();
        notices.addLast(line);
        if (notices.size() > KEPT) {
            notices.removeFirst();
        }
        link.writeAndFlush(line + "\n");
    }

    private void send(JSONObject message) {
        link.writeAndFlush(message + "\n");
    }
}
