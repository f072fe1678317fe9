package wheatspread.lab.clients;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Messages that strain a server: large, of very many short fields, incomplete or malformed. */
final class HostileBytes {
    private static final int UWSGI_HEADER_BYTES = 4;
    /** The bytes of a var with a name of two characters and no value. */
    private static final int SHORT_VAR_BYTES = 6;

    private HostileBytes() {}

    static byte[] uwsgiRequest(String path) {
        return packet(vars("PATH_INFO", path));
    }

    /** Returns a packet of {@code varsBytes} at most, with as many short vars as fit, that announces a body. */
    static byte[] uwsgiRequestOfShortVars(int varsBytes, int announcedBodyBytes) {
        ByteArrayOutputStream vars = new ByteArrayOutputStream();
        vars.writeBytes(vars("PATH_INFO", "/search", "CONTENT_LENGTH", Integer.toString(announcedBodyBytes)));
        for (int number = 0; vars.size() + SHORT_VAR_BYTES <= varsBytes; number++) {
            vars.writeBytes(vars(name(number), ""));
        }
        return packet(vars.toByteArray());
    }

    private static String name(int number) {
        return "" + (char) ('!' + number % 90) + (char) ('!' + number / 90);
    }

    static byte[] vars(String... namesAndValues) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (String text : namesAndValues) {
            out.write(text.length());
            out.write(text.length() >> 8);
            out.writeBytes(text.getBytes(StandardCharsets.ISO_8859_1));
        }
        return out.toByteArray();
    }

    static byte[] packet(byte[] vars) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(UWSGI_HEADER_BYTES + vars.length);
        out.write(0);
        out.write(vars.length);
        out.write(vars.length >> 8);
        out.write(0);
        out.writeBytes(vars);
        return out.toByteArray();
    }

    /** Returns a JSON object of {@code bytes} at most with as many short members as fit, without its end. */
    static byte[] unfinishedJsonOfShortMembers(int bytes) {
        StringBuilder line = new StringBuilder("{\"jsonrpc\":\"2.0\"");
        for (int number = 0; line.length() + 8 <= bytes; number++) {
            line.append(",\"").append(Integer.toString(number, 36)).append("\":1");
        }
        return line.toString().getBytes(StandardCharsets.US_ASCII);
    }

    /** Returns {@code message} repeated until it is {@code bytes} long or longer. */
    static byte[] repeat(byte[] message, int bytes) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (out.size() < bytes) {
            out.writeBytes(message);
        }
        return out.toByteArray();
    }
}
