package wheatspread.lab.rig;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * A listening socket that outlives the processes accepting on it, as the platform provides one: each process
 * inherits it as descriptor 0. The JDK cannot pass a descriptor to a process that it starts, so a short Perl
 * script holds the socket and starts the processes.
 */
final class InheritedSocket implements AutoCloseable {
    private static final String HOLDER_SCRIPT = """
        use strict; use Socket; use POSIX ":sys_wait_h"; $| = 1;
        socket(my $s, PF_INET, SOCK_STREAM, 0) or die; setsockopt($s, SOL_SOCKET, SO_REUSEADDR, 1);
        bind($s, sockaddr_in(0, INADDR_LOOPBACK)) or die; listen($s, 512) or die;
        my ($port) = sockaddr_in(getsockname($s)); print "port $port\n";
        my $in = ""; my $bits = ""; vec($bits, 0, 1) = 1;
        while (1) {
          if (select(my $ready = $bits, undef, undef, 0.02) > 0) {
            sysread(STDIN, $in, 65536, length $in) or last;
            while ($in =~ s/^([^\n]*)\n//) {
              my ($log, @words) = split /\t/, $1;
              my $pid = fork;
              if (!$pid) {
                open(STDIN, "<&=", fileno($s)); POSIX::dup2(fileno($s), 0);
                open(STDOUT, ">", $log); open(STDERR, ">&STDOUT");
                exec @words; die;
              }
              print "started $pid\n";
            }
          }
          while ((my $pid = waitpid(-1, WNOHANG)) > 0) { print "ended $pid $?\n"; }
        }
        """;

    private final Process holder;
    private final Writer out;
    private final BufferedReader in;
    private final int port;
    private final Map<Long, Integer> exitStatuses = new ConcurrentHashMap<>();
    private final Object lock = new Object();
    private long lastStartedPid;

    InheritedSocket() throws IOException {
        holder = new ProcessBuilder("perl", "-e", HOLDER_SCRIPT)
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        out = holder.outputWriter(StandardCharsets.UTF_8);
        in = holder.inputReader(StandardCharsets.UTF_8);
        String line = in.readLine();
        if (line == null || !line.startsWith("port ")) {
            throw new IOException("socket holder did not report its port, it printed: " + line);
        }
        port = Integer.parseInt(line.substring(5));
        Thread reader = new Thread(this::read, "held socket");
        reader.setDaemon(true);
        reader.start();
    }

    int port() {
        return port;
    }

    private void read() {
        try {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String[] words = line.split(" ");
                long pid = Long.parseLong(words[1]);
                synchronized (lock) {
                    if (words[0].equals("started")) {
                        lastStartedPid = pid;
                    } else {
                        exitStatuses.put(pid, Integer.parseInt(words[2]));
                    }
                    lock.notifyAll();
                }
            }
        } catch (IOException e) {
            return; // the holder was closed
        }
    }

    /** Starts a process with the socket as descriptor 0; its output goes to {@code log}. */
    ProcessHandle start(Path log, List<String> command) throws IOException, InterruptedException {
        synchronized (lock) {
            lastStartedPid = 0;
            out.write(log + "\t" + String.join("\t", command) + "\n");
            out.flush();
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
            while (lastStartedPid == 0 && System.nanoTime() < deadlineNanos) {
                lock.wait(100);
            }
            return ProcessHandle.of(lastStartedPid)
                    .orElseThrow(() -> new IOException("socket holder did not start a process within 10 s"));
        }
    }

    /** Returns a process's exit status as wait(2) reports it; null if it does not end within {@code millis}. */
    Integer awaitEnd(ProcessHandle process, long millis) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        synchronized (lock) {
            while (!exitStatuses.containsKey(process.pid()) && System.nanoTime() < deadlineNanos) {
                lock.wait(50);
            }
        }
        return exitStatuses.get(process.pid());
    }

    @Override
    public void close() throws IOException {
        out.close();
        holder.destroyForcibly();
    }
}
