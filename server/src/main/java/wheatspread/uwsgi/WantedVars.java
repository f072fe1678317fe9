package wheatspread.uwsgi;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wheatspread.config.UwsgiConfig;

/** Reads the vars that the front uses from a packet; all others are skipped, and take no memory. Immutable. */
final class WantedVars {
    /** The bytes of the size in front of each name and value. */
    private static final int SIZE_BYTES = 2;

    private final List<String> names;
    private final byte[][] encodedNames;

    WantedVars(List<String> names) {
        this.names = List.copyOf(names);
        encodedNames = names.stream()
                .map(name -> name.getBytes(StandardCharsets.ISO_8859_1))
                .toArray(byte[][]::new);
    }

    /** Returns the vars that carry the path, the body's size and the parameters of a request. */
    static WantedVars of(UwsgiConfig.Vars vars) {
        return new WantedVars(List.of(
                UwsgiWireNames.CONTENT_LENGTH,
                UwsgiWireNames.PATH,
                UwsgiWireNames.PATH_AND_QUERY,
                vars.requestClass(),
                vars.tenant(),
                vars.timeout(),
                vars.expectedWork(),
                vars.memory(),
                vars.idempotencyKey(),
                vars.cacheKey()));
    }

    /**
     * Returns the wanted ones of the vars in {@code size} bytes from {@code start} on, the last one if a name is
     * repeated; null if a var extends beyond these bytes. Does not move the reader index.
     */
    Map<String, String> read(ByteBuf in, int start, int size) {
        Map<String, String> vars = new LinkedHashMap<>();
        int end = start + size;
        int index = start;
        while (index < end) {
            int nameStart = index + SIZE_BYTES;
            int nameEnd = endOfText(in, index, end);
            int valueStart = nameEnd + SIZE_BYTES;
            int valueEnd = nameEnd < 0 ? nameEnd : endOfText(in, nameEnd, end);
            if (valueEnd < 0) {
                return null;
            }
            String name = find(in, nameStart, nameEnd - nameStart);
            if (name != null) {
                vars.put(name, in.toString(valueStart, valueEnd - valueStart, StandardCharsets.ISO_8859_1));
            }
            index = valueEnd;
        }
        return vars;
    }

    /** Returns the end of the text whose size is at {@code index}; -1 if it extends beyond {@code end}. */
    private static int endOfText(ByteBuf in, int index, int end) {
        if (end - index < SIZE_BYTES) {
            return -1;
        }
        int textEnd = index + SIZE_BYTES + in.getUnsignedShortLE(index);
        return textEnd > end ? -1 : textEnd;
    }

    /** Returns the wanted name that these bytes are; null if they are none. */
    private String find(ByteBuf in, int start, int size) {
        for (int i = 0; i < encodedNames.length; i++) {
            if (encodedNames[i].length == size && equals(in, start, encodedNames[i])) {
                return names.get(i);
            }
        }
        return null;
    }

    private static boolean equals(ByteBuf in, int start, byte[] name) {
        for (int i = 0; i < name.length; i++) {
            if (in.getByte(start + i) != name[i]) {
                return false;
            }
        }
        return true;
    }
}
