package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The project's own processes: started with the commands of the deploy file, and ended with the case. */
final class Processes implements AutoCloseable {
    private final Path root;
    private final Path folder;
    private final Record record;
    private final List<Process> started = new CopyOnWriteArrayList<>();
    private final List<Long> watched = new CopyOnWriteArrayList<>();

    Processes(Path root, Path folder, Record record) {
        this.root = root;
        this.folder = folder;
        this.record = record;
    }

    /** Returns the command {@code run} of the deploy file. */
    String runCommand() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("deploy/balancer.toml has no command run");
        }
        return run.group(1);
    }

    /** Starts a recipe server as the deploy file does; {@code operatorFile} is null for none. */
    Process server(String name, Path config, Path operatorFile) throws IOException {
        return start(name, runCommand() + (operatorFile == null ? "" : " " + operatorFile), Map.of("GW_CONFIG", config.toString()));
    }

    /** Starts a shell command in the root of the repository; its output goes to {@code NAME.log} in the folder. */
    Process start(String name, String command, Map<String, String> environment) throws IOException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command)
                .directory(root.toFile())
                .redirectInput(Path.of("/dev/null").toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        builder.environment().keySet().removeIf(key -> key.startsWith("GW_"));
        builder.environment().putAll(environment);
        builder.environment().put("TMPDIR", folder.toString());
        Process process = builder.start();
        started.add(process);
        record.line("started " + name + ", process " + process.pid());
        return process;
    }

    /** Names a process that another one started for this case, so that it is ended too. */
    void watch(long pid) {
        watched.add(pid);
    }

    String log(String name) throws IOException {
        Path file = folder.resolve(name + ".log");
        return Files.exists(file) ? Files.readString(file, StandardCharsets.UTF_8) : "";
    }

    void signal(long pid, String signal) throws IOException, InterruptedException {
        signal(List.of(pid), signal);
    }

    /** Sends a signal to several processes at once. */
    void signal(List<Long> pids, String signal) throws IOException, InterruptedException {
        record.line("SIG" + signal + " to " + pids);
        List<String> command = new ArrayList<>(List.of("kill", "-" + signal));
        pids.forEach(pid -> command.add(Long.toString(pid)));
        new ProcessBuilder(command).inheritIO().start().waitFor();
    }

    /** Waits until something accepts connections on the address. */
    static void awaitListening(InetSocketAddress address, long millis) throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (true) {
            try (Socket socket = new Socket()) {
                socket.connect(address, 500);
                return;
            } catch (IOException e) {
                if (System.nanoTime() > end) {
                    throw new CannotRunException("nothing listens on " + address + " after " + millis + " ms");
                }
                TimeUnit.MILLISECONDS.sleep(50);
            }
        }
    }

    /** Returns a port of the loopback address that was free a moment ago. */
    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    @Override
    public synchronized void close() {
        for (Process process : started) {
            List<ProcessHandle> children = process.descendants().toList();
            process.destroyForcibly(); // first the supervisor, which would start its members again
            children.forEach(ProcessHandle::destroyForcibly);
        }
        watched.forEach(pid -> ProcessHandle.of(pid).ifPresent(ProcessHandle::destroyForcibly));
        for (Process process : started) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
