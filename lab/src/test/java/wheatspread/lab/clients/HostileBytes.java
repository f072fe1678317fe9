package wheatspread.lab.clients;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import wheatspread.uwsgi.UwsgiEncoder;
import wheatspread.uwsgi.UwsgiPacket;

/** Messages that strain a server: large, of very many short fields, or incomplete. */
final class HostileBytes {
    /** The bytes of a var with a name of two characters and no value. */
    private static final int SHORT_VAR_BYTES = 6;
    /** More than the vars of a path and of the size of a body take. */
    private static final int OTHER_VARS_BYTES = 64;

    private HostileBytes() {}

    static byte[] uwsgiRequest(String path) {
        return uwsgiPacket(Map.of("PATH_INFO", path));
    }

    static byte[] uwsgiPacket(Map<String, String> vars) {
        ByteBuf packet = Unpooled.buffer();
        UwsgiEncoder.write(new UwsgiPacket(UwsgiPacket.REQUEST_MODIFIER, 0, vars), packet);
        return ByteBufUtil.getBytes(packet);
    }

    /** Returns a packet of {@code varsBytes} at most, of very many short vars, that announces a body. */
    static byte[] uwsgiRequestOfShortVars(int varsBytes, int announcedBodyBytes) {
        Map<String, String> vars = new LinkedHashMap<>();
        vars.put("PATH_INFO", "/search");
        vars.put("CONTENT_LENGTH", Integer.toString(announcedBodyBytes));
        for (int number = 0; number < (varsBytes - OTHER_VARS_BYTES) / SHORT_VAR_BYTES; number++) {
            vars.put("" + (char) ('!' + number % 90) + (char) ('!' + number / 90), "");
        }
        return uwsgiPacket(vars);
    }

    /** Returns a JSON object of {@code bytes} at most with as many short members as fit, without its end. */
    static byte[] unfinishedJsonOfShortMembers(int bytes) {
        StringBuilder line = new StringBuilder("{\"jsonrpc\":\"2.0\"");
        for (int number = 0; line.length() + 8 <= bytes; number++) {
            line.append(",\"").append(Integer.toString(number, 36)).append("\":1");
        }
        return ascii(line.toString());
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
