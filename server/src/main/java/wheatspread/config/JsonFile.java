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
 * Parses a settings file: JSON with comments, trailing commas and unquoted names. A duplicate key is a fault,
 * since one of the two values would be ignored. The file is parsed as a stream: its large lists are passed element by
 * element to their {@link ListReader}, and only the rest becomes a tree of maps of limited size.
 */
public final class JsonFile {
    static final long MAX_FILE_BYTES = 16L << 20;
    /** The maximum length of a text; the parser rejects a longer text before its key is known. */
    private static final int MAX_TEXT_CHARS = 128 << 10;

    private static final int MAX_KEY_CHARS = 1_024;
    /**
     * The maximum estimated memory of a tree of maps: of the file without its large lists, and of a single element of
     * such a list.
     */
    private static final int MAX_TREE_BYTES = 4 << 20;
    /** The estimated memory of a value in the tree without its text: entry, path and line; rounded up. */
    private static final int VALUE_OVERHEAD_BYTES = 128;

    private static final JsonFactory FACTORY = new JsonFactoryBuilder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(JsonReadFeature.ALLOW_YAML_COMMENTS)
            .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
            .enable(JsonReadFeature.ALLOW_UNQUOTED_FIELD_NAMES)
            .enable(JsonReadFeature.ALLOW_SINGLE_QUOTES)
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(64)
                    .maxDocumentLength(MAX_FILE_BYTES)
                    .maxStringLength(MAX_TEXT_CHARS)
                    .maxNameLength(MAX_KEY_CHARS)
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

    /** Parses the JSON object in a file; faults name file, line and key. */
    public static JsonFields read(Path file) {
        return read(file, Map.of());
    }

    /** Parses a file whose large lists, given by their keys, are read by new readers from {@code lists}. */
    static JsonFields read(Path file, Map<String, Supplier<? extends ListReader>> lists) {
        try {
            BasicFileAttributes before = Files.readAttributes(file, BasicFileAttributes.class);
            if (before.size() > MAX_FILE_BYTES) {
                throw new JsonFields.InvalidValueException(
                        file + " has " + before.size() + " bytes; allowed are up to " + MAX_FILE_BYTES);
            }
            JsonFields fields;
            try (Reader text = Files.newBufferedReader(file)) {
                fields = parse(file.toString(), text, lists);
            }
            requireUnchanged(file, before);
            return fields;
        } catch (IOException e) {
            throw new JsonFields.InvalidValueException(file + " cannot be read: "
                    + (e instanceof NoSuchFileException ? "the file does not exist" : e.toString()));
        } catch (OutOfMemoryError e) {
            throw JsonFields.InvalidValueException.outOfMemory(file.toString());
        }
    }

    /** Parses a text in memory; {@code name} replaces the file name in messages. */
    public static JsonFields read(String name, String text) {
        try {
            return parse(name, new StringReader(text), Map.of());
        } catch (IOException e) {
            throw new IllegalStateException(e); // reading from memory does not fail
        }
    }

    /** Fails if the file changed while it was read, since the result may mix the old and the new content. */
    private static void requireUnchanged(Path file, BasicFileAttributes before) throws IOException {
        BasicFileAttributes after = Files.readAttributes(file, BasicFileAttributes.class);
        boolean sameFile = before.isRegularFile() && Objects.equals(before.fileKey(), after.fileKey());
        if (sameFile
                && (before.size() != after.size() || !before.lastModifiedTime().equals(after.lastModifiedTime()))) {
            throw new JsonFields.InvalidValueException(
                    file + " was changed while it was read; write changes to another file and rename that");
        }
    }

    private static JsonFields parse(String name, Reader text, Map<String, Supplier<? extends ListReader>> lists)
            throws IOException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            SettingsSource source = new SettingsSource(name);
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new JsonFields.InvalidValueException(name + ":1: is not a JSON object");
            }
            Map<String, Object> map = new JsonFile(parser, source, lists).readObject("");
            if (parser.nextToken() != null) {
                throw new JsonFields.InvalidValueException(name + ":"
                        + parser.currentTokenLocation().getLineNr() + ": unexpected text after the JSON object");
            }
            return JsonFields.of(map, source);
        } catch (JsonProcessingException e) {
            throw new JsonFields.InvalidValueException(name + ":"
                    + (e.getLocation() == null ? 1 : e.getLocation().getLineNr()) + ": is not a JSON object: "
                    + e.getOriginalMessage().split("\n")[0]);
        }
    }

    private Map<String, Object> readObject(String path) throws IOException {
        Map<String, Object> map = new LinkedHashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            String key = path.isEmpty() ? name : path + "." + name;
            recordKey(key);
            parser.nextToken();
            map.put(name, readValue(key));
        }
        return map;
    }

    private Object readValue(String path) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> readObject(path);
            case START_ARRAY -> lists.containsKey(path) ? readLargeList(path) : readList(path);
            case VALUE_STRING -> readText();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            case VALUE_NULL -> null;
            default -> parser.getNumberValue();
        };
    }

    private List<Object> readList(String path) throws IOException {
        List<Object> list = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            String key = path + "[" + list.size() + "]";
            recordKey(key);
            list.add(readValue(key));
        }
        return list;
    }

    private ListReader readLargeList(String path) throws IOException {
        ListReader reader = lists.get(path).get();
        int treeBytesOutside = treeBytes;
        for (int index = 0; parser.nextToken() != JsonToken.END_ARRAY; index++) {
            if (index == reader.maxElements()) {
                throw new JsonFields.InvalidValueException(
                        source.location(path) + ": " + path + " has more than " + reader.maxElements() + " elements");
            }
            treeBytes = 0;
            source.beginElement(index);
            String key = path + "[" + index + "]";
            recordKey(key);
            JsonFields.read(readValue(key), key, source, index, reader);
        }
        source.endElements();
        treeBytes = treeBytesOutside;
        return reader;
    }

    private String readText() throws IOException {
        String text = parser.getText();
        addTreeBytes(text.length());
        return text;
    }

    private void recordKey(String key) {
        addTreeBytes(VALUE_OVERHEAD_BYTES + key.length());
        source.recordLine(key, parser.currentTokenLocation().getLineNr());
    }

    /** Adds to the estimated size of the tree and fails if it exceeds {@link #MAX_TREE_BYTES}. */
    private void addTreeBytes(int bytes) {
        treeBytes += bytes;
        if (treeBytes > MAX_TREE_BYTES) {
            throw new JsonFields.InvalidValueException(source.file() + ":"
                    + parser.currentTokenLocation().getLineNr() + ": the settings up to this line need more than "
                    + MAX_TREE_BYTES
                    + " bytes of memory; only "
                    + (lists.isEmpty() ? "lists of other files" : String.join(", ", lists.keySet()))
                    + " may need more");
        }
    }
}
