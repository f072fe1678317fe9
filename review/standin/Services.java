import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Stand-ins for the records service and the announce service, by the page Protocol. */
final class Services {
    private Services() {}

    interface Handler {
        void serve(InputStream in, OutputStream out) throws Exception;
    }

    /** Serves each connection on a thread of its own; returns the port. */
    static int listen(Handler handler) throws IOException {
        ServerSocket socket = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        thread(() -> {
            while (true) {
                try {
                    Socket accepted = socket.accept();
                    accepted.setTcpNoDelay(true);
                    thread(() -> {
                        try (accepted) {
                            handler.serve(new BufferedInputStream(accepted.getInputStream()), accepted.getOutputStream());
                        } catch (Exception e) {
                            // the connection has ended
                        }
                    });
                } catch (IOException e) {
                    return;
                }
            }
        });
        return socket.getLocalPort();
    }

    static Thread thread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            if (c != '\r') {
                text.append((char) c);
            }
        }
        return text.toString();
    }

    /** Answers every call with DONE after {@code delayMillis}, one call after the other on a connection. */
    static int records(long delayMillis) throws IOException {
        return listen((in, out) -> {
            for (String line = line(in); line != null; line = line(in)) {
                String[] words = line.split(" ");
                if (words[0].equals("OP")) {
                    String body = new String(in.readNBytes(Integer.parseInt(words[3]) + 2), StandardCharsets.US_ASCII).trim();
                    Thread.sleep(delayMillis);
                    byte[] reply = ("reply to " + body).getBytes(StandardCharsets.US_ASCII);
                    out.write((words[1] + " DONE " + reply.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
                    out.write(reply);
                    out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
                    out.flush();
                }
            }
        });
    }

    /** Takes reports and answers them with 204. */
    static int announce() throws IOException {
        return listen((in, out) -> {
            for (String line = line(in); line != null; line = line(in)) {
                int length = 0;
                for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
                    if (header.toLowerCase().startsWith("content-length:")) {
                        length = Integer.parseInt(header.substring(15).trim());
                    }
                }
                in.readNBytes(length);
                out.write("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                out.flush();
            }
        });
    }
}
