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
import java.io.Reader;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Supplier;

/**
 * Reads a settings file: JSON, in which comments, trailing commas and names without quotes are allowed. A key
 * that stands twice is a fault, since one of the two would be ignored. The file is read as a stream: its
 * large lists go element by element to their {@link ListReader}, and only the rest becomes a tree of maps,
 * whose size is bounded.
 */
public final class JsonFile {
    /** The longest file that is read; bytes. */
    static final long MOST_BYTES = 16L << 20;
    /** The longest text in a file, in characters; longer ones are refused before a key could be named. */
    private static final int LONGEST_TEXT = 128 << 10;

    private static final int LONGEST_KEY = 1_024;
    /**
     * What a tree of maps may come to, in bytes: that of the file without its large lists, and that of one
     * element of such a list.
     */
    private static final int MOST_TREE = 4 << 20;
    /** What a value costs in the tree besides its text: entry, path and line; bytes, rounded up. */
    private static final int VALUE_COST = 128;

    private static final JsonFactory FACTORY = new JsonFactoryBuilder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(JsonReadFeature.ALLOW_YAML_COMMENTS)
            .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
            .enable(JsonReadFeature.ALLOW_UNQUOTED_FIELD_NAMES)
            .enable(JsonReadFeature.ALLOW_SINGLE_QUOTES)
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(64)
                    .maxDocumentLength(MOST_BYTES)
                    .maxStringLength(LONGEST_TEXT)
                    .maxNameLength(LONGEST_KEY)
                    .build())
            .build();

    private final JsonParser parser;
    private final SettingsSource source;
    private final Map<String, Supplier<? extends ListReader>> lists;
    private int treeBytes;

    private JsonFile(JsonParser parser, SettingsSource source, Map<String, Supplier<? extends ListReader>> lists) {
        this.parser = parser;
        this.source = source;
        this.lists = lists;
    }

    /** The object in a file; its complaints name file, line and key. */
    public static JsonFields read(Path file) {
        return read(file, Map.of());
    }

    /** The same, where the lists under the keys of {@code lists} are read by what is made for each. */
    static JsonFields read(Path file, Map<String, Supplier<? extends ListReader>> lists) {
        try {
            BasicFileAttributes before = Files.readAttributes(file, BasicFileAttributes.class);
            if (before.size() > MOST_BYTES) {
                throw new JsonFields.InvalidValueException(file + " is longer than " + MOST_BYTES + " bytes");
            }
            JsonFields told;
            try (Reader text = Files.newBufferedReader(file)) {
                told = parse(file.toString(), text, lists);
            }
            requireUnchanged(file, before);
            return told;
        } catch (IOException e) {
            throw new JsonFields.InvalidValueException(file + " cannot be read: "
                    + (e instanceof NoSuchFileException ? "there is no such file" : e.toString()));
        } catch (OutOfMemoryError e) {
            throw JsonFields.InvalidValueException.outOfMemory(file.toString());
        }
    }

    /** The same of a text in memory; {@code name} is how complaints call it. */
    public static JsonFields read(String name, String text) {
        try {
            return parse(name, new StringReader(text), Map.of());
        } catch (IOException e) {
            throw new IllegalStateException(e); // a text in memory can be read
        }
    }

    /** A file that is written in place while it is read may be half the old one and half the new one. */
    private static void requireUnchanged(Path file, BasicFileAttributes before) throws IOException {
        BasicFileAttributes after = Files.readAttributes(file, BasicFileAttributes.class);
        boolean sameFile = before.isRegularFile() && Objects.equals(before.fileKey(), after.fileKey());
        if (sameFile
                && (before.size() != after.size() || !before.lastModifiedTime().equals(after.lastModifiedTime()))) {
            throw new JsonFields.InvalidValueException(
                    file + " was changed while it was read; write it aside and rename it");
        }
    }

    private static JsonFields parse(String name, Reader text, Map<String, Supplier<? extends ListReader>> lists)
            throws IOException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            SettingsSource source = new SettingsSource(name);
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new JsonFields.InvalidValueException(name + ":1: is not a JSON object");
            }
            Map<String, Object> map = new JsonFile(parser, source, lists).object("");
            if (parser.nextToken() != null) {
                throw new JsonFields.InvalidValueException(
                        name + ":" + parser.currentTokenLocation().getLineNr() + ": something follows the object");
            }
            return JsonFields.of(map, source);
        } catch (JsonProcessingException e) {
            throw new JsonFields.InvalidValueException(name + ":"
                    + (e.getLocation() == null ? 1 : e.getLocation().getLineNr()) + ": is not a JSON object: "
                    + e.getOriginalMessage().split("\n")[0]);
        }
    }

    private Map<String, Object> object(String path) throws IOException {
        Map<String, Object> map = new LinkedHashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            String key = path.isEmpty() ? name : path + "." + name;
            keep(key);
            parser.nextToken();
            map.put(name, value(key));
        }
        return map;
    }

    private Object value(String path) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> object(path);
            case START_ARRAY -> lists.containsKey(path) ? largeList(path) : list(path);
            case VALUE_STRING -> text();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            case VALUE_NULL -> null;
            default -> parser.getNumberValue();
        };
    }

    private List<Object> list(String path) throws IOException {
        List<Object> list = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            String key = path + "[" + list.size() + "]";
            keep(key);
            list.add(value(key));
        }
        return list;
    }

    private ListReader largeList(String path) throws IOException {
        ListReader reader = lists.get(path).get();
        int outside = treeBytes;
        for (int index = 0; parser.nextToken() != JsonToken.END_ARRAY; index++) {
            if (index == reader.most()) {
                throw new JsonFields.InvalidValueException(
                        source.place(path) + ": " + path + " has more than " + reader.most() + " elements");
            }
            treeBytes = 0;
            source.beginElement(index);
            String key = path + "[" + index + "]";
            keep(key);
            JsonFields.read(value(key), key, source, index, reader);
        }
        source.endElements();
        treeBytes = outside;
        return reader;
    }

    private String text() throws IOException {
        String text = parser.getText();
        charge(text.length());
        return text;
    }

    private void keep(String key) {
        charge(VALUE_COST + key.length());
        source.stands(key, parser.currentTokenLocation().getLineNr());
    }

    private void charge(int bytes) {
        treeBytes += bytes;
        if (treeBytes > MOST_TREE) {
            throw new JsonFields.InvalidValueException(source.file() + ":"
                    + parser.currentTokenLocation().getLineNr() + ": the settings take over " + MOST_TREE
                    + " bytes up to here; only "
                    + (lists.isEmpty() ? "other files" : String.join(", ", lists.keySet())) + " may be large");
        }
    }
}
