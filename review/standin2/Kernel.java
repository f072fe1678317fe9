package review2;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;

/**
 * The kernel of the machine of one recipe server, by PROTOCOL "The kernel". It runs what SCHED asks for, all runs at
 * the same time, and makes no calls. A run is known by its job. Runs go on while there is no link. Notices are kept (the
 * last 4,000) and sent again after OPEN; they are numbered from 1 at each start of the recipe server, of which {@link
 * #serverStarts} tells.
 */
final class Kernel implements AutoCloseable {
    /** What the work of a case does: how long a run takes, and which result it makes. */
    interface Work {
        long millis(String kind, byte[] body);

        byte[] result(String kind, byte[] body);
    }

    private static final int KEPT_NOTICES = 4_000;

    private static final class Run {
        final String kind;
        final byte[] body;
        final long startedNanos = System.nanoTime();
        ScheduledFuture<?> end;

        Run(String kind, byte[] body) {
            this.kind = kind;
            this.body = body;
        }
    }

    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1, Kernel::daemon);
    private final Record record;
    private final Work work;
    private final boolean quiet;
    private final long bootedNanos = System.nanoTime();
    private final Map<String, Run> running = new HashMap<>();
    private final List<String> startedBodies = new ArrayList<>();
    private final List<JSONObject> notices = new ArrayList<>();
    private long lastNotice;
    private boolean startPending;
    private Socket link;

    /** Creates a kernel that listens; {@code quiet} leaves single runs out of the record. */
    Kernel(Record record, Work work, boolean quiet) throws IOException {
        this.record = record;
        this.work = work;
        this.quiet = quiet;
        daemon(this::accept).start();
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Tells the kernel that the next link is that of a process which starts, so that notices begin at 1 again. */
    synchronized void serverStarts() {
        startPending = true;
    }

    /** Returns how many runs were begun so far with this body. */
    synchronized int runsOf(String body) {
        return (int) startedBodies.stream().filter(body::equals).count();
    }

    synchronized int runs() {
        return startedBodies.size();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                synchronized (this) {
                    if (link != null) {
                        link.close(); // a new link replaces the link before it
                    }
                    link = socket;
                }
                daemon(() -> read(socket)).start();
            }
        } catch (IOException e) {
            // the case is over
        }
    }

    private void read(Socket socket) {
        try {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                command(socket, new JSONObject(line));
            }
        } catch (IOException e) {
            // the link is gone
        }
    }

    private synchronized void command(Socket from, JSONObject command) {
        if (from != link) {
            return;
        }
        String job = command.optString("job");
        switch (command.getString("type")) {
            case "OPEN" -> open(command.getLong("n"));
            case "SYSINFO" ->
                send(new JSONObject()
                        .put("type", "INFO")
                        .put("ref", command.get("ref"))
                        .put("gauges", List.of(Math.min(1, running.size() / 6.0), running.size(), 0.1, 10)));
            case "SCHED" -> start(job, command.getString("kind"), command.getString("data"));
            case "PREEMPT" -> stop(job);
            default -> record.line("kernel ignored " + command);
        }
    }

    private void open(long read) {
        if (startPending) {
            startPending = false;
            lastNotice = 0;
            notices.clear();
        }
        long took = (System.nanoTime() - bootedNanos) / 1_000_000 + 60_000; // it was up for a while
        record.line("kernel OPEN n=" + read + ", runs that go on: " + running.keySet());
        send(new JSONObject().put("type", "BOOTED").put("state", "WARM").put("took", took));
        notices.stream().filter(notice -> notice.getLong("n") > read).forEach(this::send);
    }

    private void start(String job, String kind, String data) {
        byte[] body = Base64.getDecoder().decode(data);
        if (running.containsKey(job)) {
            record.line("kernel SCHED " + job + " " + kind + " " + text(body) + ": runs already, nothing happens");
            return;
        }
        Run run = new Run(kind, body);
        startedBodies.add(text(body));
        running.put(job, run);
        if (!quiet) {
            record.line("kernel SCHED " + job + " " + kind + " " + text(body) + ": run begun");
        }
        run.end = timer.schedule(() -> end(job, run), work.millis(kind, body), TimeUnit.MILLISECONDS);
    }

    private synchronized void end(String job, Run run) {
        if (running.remove(job, run)) {
            byte[] result = work.result(run.kind, run.body);
            if (!quiet) {
                record.line("kernel REAP " + job + " OK " + text(result));
            }
            reap(job, "OK", run, result);
        }
    }

    private void stop(String job) {
        Run run = running.remove(job);
        if (run != null) {
            run.end.cancel(false);
            record.line("kernel PREEMPT " + job + ": stopped");
            reap(job, "STOPPED", run, new byte[0]);
        }
    }

    private void reap(String job, String state, Run run, byte[] result) {
        JSONObject notice = new JSONObject()
                .put("type", "REAP")
                .put("n", ++lastNotice)
                .put("job", job)
                .put("state", state)
                .put("took", (System.nanoTime() - run.startedNanos) / 1e6)
                .put("data", Base64.getEncoder().encodeToString(result));
        notices.add(notice);
        if (notices.size() > KEPT_NOTICES) {
            notices.remove(0);
        }
        send(notice);
    }

    private void send(JSONObject message) {
        try {
            if (link != null) {
                OutputStream out = link.getOutputStream();
                out.write((message + "\n").getBytes(StandardCharsets.UTF_8));
            }
        } catch (IOException e) {
            // the notice is sent again on the next link
        }
    }

    static String text(byte[] body) {
        String text = new String(body, StandardCharsets.UTF_8);
        return text.length() <= 60 ? text : text.substring(0, 60) + "...";
    }

    @Override
    public synchronized void close() throws IOException {
        listener.close();
        if (link != null) {
            link.close();
        }
        timer.shutdownNow();
    }
}
