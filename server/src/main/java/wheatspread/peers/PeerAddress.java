package wheatspread.peers;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * Parses and formats the address of a peer: an IPv4 address and a port, as {@code 10.0.0.7:7400}. Host names are
 * invalid, since resolving a name would block the event loop.
 */
public final class PeerAddress {
    private static final int IPV4_BYTES = 4;
    private static final int MAX_BYTE = 255;
    private static final int MAX_PORT = 65_535;
    private static final int MAX_PORT_DIGITS = 5;
    private static final int NO_PORT = 0;
    private static final int NO_DIGIT_YET = -1;

    private PeerAddress() {}

    /** Returns whether a text is a valid address. */
    public static boolean isValid(String text) {
        return parse(text) != null;
    }

    /** Parses an address without a DNS lookup; returns null if the text is not valid. */
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

    /**
     * Parses the port at the end of a text; returns {@link #NO_PORT} if it is missing, 0, not a number or too large.
     */
    private static int parsePort(String text, int start) {
        int port = 0;
        for (int position = start; position < text.length(); position++) {
            char c = text.charAt(position);
            if (!isDigit(c) || position - start >= MAX_PORT_DIGITS) {
                return NO_PORT;
            }
            port = port * 10 + c - '0';
        }
        return port > MAX_PORT ? NO_PORT : port;
    }

    private static boolean isDigit(char c) {
        return c >= '0' && c <= '9';
    }

    /** Returns the text form of an IPv4 address, which {@link #parse} accepts. */
    public static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
