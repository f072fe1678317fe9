import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One recipe server, started with the command of the deploy file. */
final class ServerProcess implements AutoCloseable {
    private final Process process;
    private final Path log;

    private ServerProcess(Process process, Path log) {
        this.process = process;
        this.log = log;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Returns the command {@code key} of deploy/balancer.toml. */
    static String command(Path root, String key) throws IOException {
        Matcher matcher = Pattern.compile("(?m)^" + key + " = \"(.*?)\"").matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!matcher.find()) {
            throw new IOException("deploy/balancer.toml has no key " + key);
        }
        return matcher.group(1);
    }

    /** Starts a server; {@code folder} gets its configuration and its log. */
    static ServerProcess start(Path root, Path folder, String name, String config) throws IOException {
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, config);
        Path log = folder.resolve(name + ".log");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command(root, "run"))
                .directory(root.toFile())
                .redirectInput(new File("/dev/null"))
                .redirectErrorStream(true)
                .redirectOutput(log.toFile());
        builder.environment().put("GW_CONFIG", file.toString());
        builder.environment().put("TMPDIR", folder.toString());
        Process process = builder.start();
        // whatever ends this program, the server ends with it
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        return new ServerProcess(process, log);
    }

    /** Waits until the log holds {@code text}. */
    void awaitLog(String text, long millis) throws Exception {
        long end = World.now() + millis;
        while (!Files.readString(log).contains(text)) {
            if (World.now() > end || !process.isAlive()) {
                throw new CannotRunException("the server did not log '" + text + "': " + Files.readString(log));
            }
            Thread.sleep(20);
        }
    }

    /** Sends a signal, such as STOP. */
    void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    @Override
    public void close() {
        try {
            process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The case could not be played; this says nothing about the rule. */
    static final class CannotRunException extends Exception {
        private static final long serialVersionUID = 1L;

        CannotRunException(String message) {
            super(message);
        }
    }
}
