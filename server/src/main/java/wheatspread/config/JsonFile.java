package wheatspread.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads a settings file: JSON, in which comments, trailing commas and names without quotes are allowed. A key
 * that stands twice is a fault, since one of the two would be ignored.
 */
public final class JsonFile {
    private static final JsonFactory FACTORY = new JsonFactoryBuilder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(JsonReadFeature.ALLOW_YAML_COMMENTS)
            .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
            .enable(JsonReadFeature.ALLOW_UNQUOTED_FIELD_NAMES)
            .enable(JsonReadFeature.ALLOW_SINGLE_QUOTES)
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .streamReadConstraints(
                    StreamReadConstraints.builder().maxNestingDepth(64).build())
            .build();
    private static final long MOST_BYTES = 16L << 20;

    private final Map<String, Integer> lines = new HashMap<>();

    private JsonFile() {}

    /** The object in a file; its complaints name file, line and key. */
    public static Fields read(Path file) {
        String text;
        try {
            if (Files.size(file) > MOST_BYTES) {
                throw new Fields.BadValue(file + " is longer than " + MOST_BYTES + " bytes");
            }
            text = Files.readString(file);
        } catch (IOException e) {
            throw new Fields.BadValue(file + " cannot be read: "
                    + (e instanceof java.nio.file.NoSuchFileException ? "there is no such file" : e.toString()));
        }
        return read(file.toString(), text);
    }

    /** The same of a text; {@code name} is how complaints call it. */
    public static Fields read(String name, String text) {
        try (JsonParser parser = FACTORY.createParser(text)) {
            JsonFile reader = new JsonFile();
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new Fields.BadValue(name + ":1: is not a JSON object");
            }
            Map<String, Object> map = reader.object(parser, "");
            if (parser.nextToken() != null) {
                throw new Fields.BadValue(
                        name + ":" + parser.currentTokenLocation().getLineNr() + ": something follows the object");
            }
            return Fields.of(map, new Source(name, reader.lines));
        } catch (JsonProcessingException e) {
            throw new Fields.BadValue(name + ":"
                    + (e.getLocation() == null ? 1 : e.getLocation().getLineNr()) + ": is not a JSON object: "
                    + e.getOriginalMessage().split("\n")[0]);
        } catch (IOException e) {
            throw new IllegalStateException(e); // a text in memory
        }
    }

    private Map<String, Object> object(JsonParser parser, String path) throws IOException {
        Map<String, Object> map = new LinkedHashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            String key = path.isEmpty() ? name : path + "." + name;
            lines.put(key, parser.currentTokenLocation().getLineNr());
            parser.nextToken();
            map.put(name, value(parser, key));
        }
        return map;
    }

    private Object value(JsonParser parser, String path) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> object(parser, path);
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    String key = path + "[" + list.size() + "]";
                    lines.put(key, parser.currentTokenLocation().getLineNr());
                    list.add(value(parser, key));
                }
                yield list;
            }
            case VALUE_STRING -> parser.getText();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            case VALUE_NULL -> null;
            default -> parser.getNumberValue();
        };
    }
}
