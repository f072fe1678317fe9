package wheatspread.peers;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Where a peer is reached: an IPv4 address and a port, as {@code 10.0.0.7:7400}. */
public final class PeerAddress {
    private PeerAddress() {}

    public static boolean isOne(String text) {
        return parse(text) != null;
    }

    /** Null where it is none. Nothing is looked up. */
    public static InetSocketAddress parse(String text) {
        byte[] host = new byte[4];
        int at = 0;
        int part = 0;
        int value = -1;
        for (; at < text.length() && part < 4; at++) {
            char c = text.charAt(at);
            if (c >= '0' && c <= '9') {
                value = Math.max(0, value) * 10 + c - '0';
                if (value > 255) {
                    return null;
                }
            } else if (value >= 0 && c == (part < 3 ? '.' : ':')) {
                host[part++] = (byte) value;
                value = -1;
            } else {
                return null;
            }
        }
        int port = part < 4 ? 0 : port(text, at);
        if (port == 0) {
            return null;
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(host), port);
        } catch (UnknownHostException e) {
            throw new AssertionError(e); // four bytes are always an address
        }
    }

    /** 0 where it is none that can be sent to. */
    private static int port(String text, int from) {
        int port = 0;
        for (int at = from; at < text.length(); at++) {
            char c = text.charAt(at);
            if (c < '0' || c > '9' || at - from >= 5) {
                return 0;
            }
            port = port * 10 + c - '0';
        }
        return port > 65_535 ? 0 : port;
    }

    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
