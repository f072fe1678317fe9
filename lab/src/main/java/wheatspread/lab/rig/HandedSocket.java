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
 * A listening socket that outlives the processes which accept on it, as the platform holds one: each is
 * started with it as descriptor 0. The JDK hands no descriptor to a process that it starts, so a few lines of
 * Perl hold the socket and start them.
 */
final class HandedSocket implements AutoCloseable {
    private static final String HOLDER = """
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
    private final Map<Long, Integer> ends = new ConcurrentHashMap<>();
    private final Object started = new Object();
    private long lastStarted;

    HandedSocket() throws IOException {
        holder = new ProcessBuilder("perl", "-e", HOLDER)
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        out = holder.outputWriter(StandardCharsets.UTF_8);
        in = holder.inputReader(StandardCharsets.UTF_8);
        String line = in.readLine();
        if (line == null || !line.startsWith("port ")) {
            throw new IOException("no socket is held: " + line);
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
                synchronized (started) {
                    if (words[0].equals("started")) {
                        lastStarted = pid;
                    } else {
                        ends.put(pid, Integer.parseInt(words[2]));
                    }
                    started.notifyAll();
                }
            }
        } catch (IOException e) {
            return; // it was closed
        }
    }

    /** Starts a process with the socket as descriptor 0; what it prints goes to {@code log}. */
    ProcessHandle start(Path log, List<String> command) throws IOException, InterruptedException {
        synchronized (started) {
            lastStarted = 0;
            out.write(log + "\t" + String.join("\t", command) + "\n");
            out.flush();
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
            while (lastStarted == 0 && System.nanoTime() < until) {
                started.wait(100);
            }
            return ProcessHandle.of(lastStarted).orElseThrow(() -> new IOException("nothing was started"));
        }
    }

    /** How a process ended, as wait(2) tells it; null while it has not within so long. */
    Integer awaitEnd(ProcessHandle process, long millis) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        synchronized (started) {
            while (!ends.containsKey(process.pid()) && System.nanoTime() < until) {
                started.wait(50);
            }
        }
        return ends.get(process.pid());
    }

    @Override
    public void close() throws IOException {
        out.close();
        holder.destroyForcibly();
    }
}
