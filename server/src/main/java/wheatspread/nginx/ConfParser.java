package wheatspread.nginx;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Parses a file in the configuration language of nginx, including the files that it includes, into directives. */
final class ConfParser {
    private static final int MAX_INCLUDE_DEPTH = 10;

    private final String file;
    private final Path folder;
    private final String text;
    private final int depth;
    private int position;
    private int line = 1;

    /** The file is not a valid nginx configuration; the message starts with file and line. */
    static final class InvalidConfException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        InvalidConfException(String message) {
            super(message);
        }
    }

    /** A word, quoted or not, or a delimiter: a brace or a semicolon. */
    private record Token(int line, String text, boolean isDelimiter) {
        boolean is(String other) {
            return isDelimiter && text.equals(other);
        }
    }

    ConfParser(String file, Path folder, String text, int depth) {
        this.file = file;
        this.folder = folder;
        this.text = text;
        this.depth = depth;
    }

    static List<Directive> parse(Path file) {
        return parse(file, 0);
    }

    private static List<Directive> parse(Path file, int depth) {
        if (depth > MAX_INCLUDE_DEPTH) {
            throw new InvalidConfException(
                    file + ":1: includes are nested more than " + MAX_INCLUDE_DEPTH + " deep, probably in a cycle");
        }
        try {
            String text = Files.readString(file, StandardCharsets.UTF_8);
            Path folder = file.getParent() == null ? Path.of("") : file.getParent();
            return new ConfParser(file.toString(), folder, text, depth).parseBlock(null);
        } catch (IOException e) {
            throw new InvalidConfException(file + ":1: cannot be read: " + e.getMessage());
        }
    }

    /** Parses directives up to the end of the block, or of the file if {@code opening} is null. */
    private List<Directive> parseBlock(Token opening) {
        List<Directive> directives = new ArrayList<>();
        for (Token token = next(); token != null; token = next()) {
            if (token.is("}") && opening != null) {
                return directives;
            }
            if (token.isDelimiter()) {
                throw invalid(token.line(), "unexpected \"" + token.text() + "\", expected a directive");
            }
            parseDirective(token, directives);
        }
        if (opening != null) {
            throw invalid(opening.line(), "block is not closed by \"}\"");
        }
        return directives;
    }

    private void parseDirective(Token name, List<Directive> directives) {
        List<String> args = new ArrayList<>();
        Token token = next();
        while (token != null && !token.isDelimiter()) {
            args.add(token.text());
            token = next();
        }
        if (token == null || token.is("}")) {
            throw invalid(name.line(), "\"" + name.text() + "\" is not followed by \";\" or a block");
        }
        List<Directive> block = token.is("{") ? parseBlock(token) : null;
        if (name.text().equals("include") && block == null && args.size() == 1) {
            include(name, args.get(0), directives);
        } else {
            directives.add(new Directive(file, name.line(), name.text(), List.copyOf(args), block));
        }
    }

    private void include(Token name, String pattern, List<Directive> directives) {
        Path path = folder.resolve(pattern);
        boolean isPattern = path.getFileName().toString().matches(".*[*?\\[].*");
        if (!isPattern) {
            directives.addAll(parse(path, depth + 1));
            return;
        }
        List<Path> files = new ArrayList<>();
        try (DirectoryStream<Path> stream = Files.newDirectoryStream(
                path.toAbsolutePath().getParent(), path.getFileName().toString())) {
            stream.forEach(files::add);
        } catch (IOException e) {
            throw invalid(name.line(), "cannot include " + pattern + ": " + e.getMessage());
        }
        files.sort(null);
        files.forEach(included -> directives.addAll(parse(included, depth + 1)));
    }

    private InvalidConfException invalid(int atLine, String problem) {
        return new InvalidConfException(file + ":" + atLine + ": " + problem);
    }

    // ---- tokens ----

    /** Returns the next token; null at the end of the file. */
    private Token next() {
        skipBlanks();
        if (position >= text.length()) {
            return null;
        }
        char c = text.charAt(position);
        int startLine = line;
        if (c == '{' || c == '}' || c == ';') {
            position++;
            return new Token(startLine, String.valueOf(c), true);
        }
        return new Token(startLine, c == '"' || c == '\'' ? quoted(c) : unquoted(), false);
    }

    private void skipBlanks() {
        while (position < text.length()) {
            char c = text.charAt(position);
            if (c == '#') {
                int end = text.indexOf('\n', position);
                position = end < 0 ? text.length() : end;
            } else if (Character.isWhitespace(c)) {
                nextChar();
            } else {
                return;
            }
        }
    }

    private char nextChar() {
        char c = text.charAt(position++);
        if (c == '\n') {
            line++;
        }
        return c;
    }

    private String quoted(char quote) {
        int startLine = line;
        nextChar();
        StringBuilder word = new StringBuilder();
        while (position < text.length()) {
            char c = nextChar();
            if (c == quote) {
                return word.toString();
            }
            if (c == '\\'
                    && position < text.length()
                    && (text.charAt(position) == quote || text.charAt(position) == '\\')) {
                c = nextChar();
            }
            word.append(c);
        }
        throw invalid(startLine, "quoted word is not closed by " + quote);
    }

    /** Reads an unquoted word. The name of a variable may be in braces; a backslash escapes the next character. */
    private String unquoted() {
        StringBuilder word = new StringBuilder();
        while (position < text.length()) {
            char c = text.charAt(position);
            boolean startsBracedVariable = c == '{' && word.length() > 0 && word.charAt(word.length() - 1) == '$';
            if (startsBracedVariable) {
                int end = text.indexOf('}', position);
                if (end < 0) {
                    throw invalid(line, "name of a variable is not closed by \"}\"");
                }
                word.append(text, position, end + 1);
                position = end + 1;
                continue;
            }
            if (Character.isWhitespace(c) || c == ';' || c == '{') {
                break;
            }
            word.append(nextChar());
            if (c == '\\' && position < text.length()) {
                word.append(nextChar());
            }
        }
        return word.toString();
    }
}
