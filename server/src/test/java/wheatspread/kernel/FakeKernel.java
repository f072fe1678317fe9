package wheatspread.kernel;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.json.JSONObject;

/** A kernel's listening socket, whose links a test reads and writes line by line. */
final class FakeKernel implements AutoCloseable {
    static final int TIMEOUT_MS = 5_000;

    private final ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    /** Referenced until the end, since the garbage collector closes sockets without a reference. */
    private final List<Socket> accepted = new ArrayList<>();

    FakeKernel() throws IOException {
        socket.setSoTimeout(TIMEOUT_MS);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }

    Socket accept() throws IOException {
        Socket link = socket.accept();
        link.setSoTimeout(TIMEOUT_MS);
        accepted.add(link);
        return link;
    }

    static BufferedReader reader(Socket socket) throws IOException {
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
    }

    static void send(Socket socket, String line) throws IOException {
        socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
    }

    static String readType(BufferedReader reader) throws IOException {
        return new JSONObject(reader.readLine()).getString("type");
    }

    @Override
    public void close() throws IOException {
        for (Socket link : accepted) {
            link.close();
        }
        socket.close();
    }
}
