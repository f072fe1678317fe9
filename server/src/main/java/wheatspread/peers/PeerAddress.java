package wheatspread.peers;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * The address of a peer: an IPv4 address and a port, as {@code 10.0.0.7:7400}. Names are not allowed, since resolving
 * one would block the event loop.
 */
public final class PeerAddress {
    private static final int IPV4_BYTES = 4;
    private static final int MAX_BYTE = 255;
    private static final int MAX_PORT = 65_535;
    private static final int MAX_PORT_DIGITS = 5;
    private static final int NO_PORT = 0;
    private static final int NO_DIGIT_YET = -1;

    private PeerAddress() {}

    /** Whether a text is such an address. */
    public static boolean isValid(String text) {
        return parse(text) != null;
    }

    /** The address that a text stands for; null where it is none. Nothing is looked up. */
    public static InetSocketAddress parse(String text) {
        byte[] host = new byte[IPV4_BYTES];
        int position = 0;
        int part = 0;
        int value = NO_DIGIT_YET;
        for (; position < text.length() && part < IPV4_BYTES; position++) {
            char c = text.charAt(position);
            char separator = part < IPV4_BYTES - 1 ? '.' : ':';
            if (isDigit(c)) {
                value = Math.max(0, value) * 10 + c - '0';
                if (value > MAX_BYTE) {
                    return null;
                }
            } else if (value != NO_DIGIT_YET && c == separator) {
                host[part++] = (byte) value;
                value = NO_DIGIT_YET;
            } else {
                return null;
            }
        }
        int port = part < IPV4_BYTES ? NO_PORT : parsePort(text, position);
        return port == NO_PORT ? null : socketAddress(host, port);
    }

    private static InetSocketAddress socketAddress(byte[] host, int port) {
        try {
            return new InetSocketAddress(InetAddress.getByAddress(host), port);
        } catch (UnknownHostException e) {
            throw new AssertionError(e); // four bytes are always an address
        }
    }

    /** The port at the end of a text; {@link #NO_PORT} where there is none to which messages can be sent. */
    private static int parsePort(String text, int from) {
        int port = 0;
        for (int position = from; position < text.length(); position++) {
            char c = text.charAt(position);
            if (!isDigit(c) || position - from >= MAX_PORT_DIGITS) {
                return NO_PORT;
            }
            port = port * 10 + c - '0';
        }
        return port > MAX_PORT ? NO_PORT : port;
    }

    private static boolean isDigit(char c) {
        return c >= '0' && c <= '9';
    }

    /** The text form of an address, which {@link #parse} reads. */
    public static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
