package wheatspread.sim;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wheatspread.config.JsonFields;

/** Parses a text that holds one JSON object into maps, lists, strings, longs, doubles and booleans. */
final class JsonTreeParser {
    private final JsonFactory json;

    JsonTreeParser(JsonFactory json) {
        this.json = json;
    }

    JsonFields parseObject(String text) throws IOException {
        try (JsonParser parser = json.createParser(text)) {
            parser.nextToken();
            Object value = readValue(parser);
            if (parser.nextToken() != null) {
                throw new BenchLink.InvalidInputException("unexpected text after the JSON object");
            }
            return JsonFields.of(value, "message");
        }
    }

    private static Object readValue(JsonParser parser) throws IOException {
        JsonToken token = parser.currentToken();
        if (token == null) {
            return null;
        }
        return switch (token) {
            case START_OBJECT -> readObject(parser);
            case START_ARRAY -> readList(parser);
            case VALUE_NUMBER_INT -> parser.getNumberValue().longValue();
            case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
            case VALUE_STRING -> parser.getText();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            default -> null;
        };
    }

    private static Map<String, Object> readObject(JsonParser parser) throws IOException {
        Map<String, Object> map = new HashMap<>();
        for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
            parser.nextToken();
            map.put(name, readValue(parser));
        }
        return map;
    }

    private static List<Object> readList(JsonParser parser) throws IOException {
        List<Object> list = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            list.add(readValue(parser));
        }
        return list;
    }
}
