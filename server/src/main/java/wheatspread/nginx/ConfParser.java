package wheatspread.nginx;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reads a file of nginx's configuration language, with what it includes, into directives. */
final class ConfParser {
    private static final int DEEPEST_INCLUDE = 10;

    private final String file;
    private final Path folder;
    private final String text;
    private final int depth;
    private int at;
    private int line = 1;

    /** The text is none that nginx would read; the message starts with file and line. */
    static final class BadConf extends RuntimeException {
        private static final long serialVersionUID = 1L;

        BadConf(String message) {
            super(message);
        }
    }

    /** A word, quoted or not, or one of the three signs. */
    private record Token(int line, String text, boolean sign) {
        boolean is(String other) {
            return sign && text.equals(other);
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
        if (depth > DEEPEST_INCLUDE) {
            throw new BadConf(file + ":1: includes go round in a circle");
        }
        try {
            String text = Files.readString(file, StandardCharsets.UTF_8);
            Path folder = file.getParent() == null ? Path.of("") : file.getParent();
            return new ConfParser(file.toString(), folder, text, depth).block(null);
        } catch (IOException e) {
            throw new BadConf(file + ":1: cannot be read: " + e.getMessage());
        }
    }

    /** The directives up to the sign that closes their block, or to the end of the file. */
    private List<Directive> block(Token opening) {
        List<Directive> found = new ArrayList<>();
        for (Token token = next(); token != null; token = next()) {
            if (token.is("}") && opening != null) {
                return found;
            }
            if (token.sign()) {
                throw bad(token.line(), "unexpected \"" + token.text() + "\"");
            }
            directive(token, found);
        }
        if (opening != null) {
            throw bad(opening.line(), "this block is not closed");
        }
        return found;
    }

    private void directive(Token name, List<Directive> into) {
        List<String> args = new ArrayList<>();
        Token token = next();
        while (token != null && !token.sign()) {
            args.add(token.text());
            token = next();
        }
        if (token == null || token.is("}")) {
            throw bad(name.line(), "\"" + name.text() + "\" is not ended by \";\" or a block");
        }
        List<Directive> block = token.is("{") ? block(token) : null;
        if (name.text().equals("include") && block == null && args.size() == 1) {
            include(name, args.get(0), into);
        } else {
            into.add(new Directive(file, name.line(), name.text(), List.copyOf(args), block));
        }
    }

    private void include(Token name, String mask, List<Directive> into) {
        Path path = folder.resolve(mask);
        boolean many = path.getFileName().toString().matches(".*[*?\\[].*");
        if (!many) {
            into.addAll(parse(path, depth + 1));
            return;
        }
        List<Path> files = new ArrayList<>();
        try (DirectoryStream<Path> stream = Files.newDirectoryStream(
                path.toAbsolutePath().getParent(), path.getFileName().toString())) {
            stream.forEach(files::add);
        } catch (IOException e) {
            throw bad(name.line(), "cannot include " + mask + ": " + e.getMessage());
        }
        files.sort(null);
        files.forEach(one -> into.addAll(parse(one, depth + 1)));
    }

    private BadConf bad(int where, String complaint) {
        return new BadConf(file + ":" + where + ": " + complaint);
    }

    // ---- words ----

    private Token next() {
        skipBlanks();
        if (at >= text.length()) {
            return null;
        }
        char c = text.charAt(at);
        int start = line;
        if (c == '{' || c == '}' || c == ';') {
            at++;
            return new Token(start, String.valueOf(c), true);
        }
        return new Token(start, c == '"' || c == '\'' ? quoted(c) : bare(), false);
    }

    private void skipBlanks() {
        while (at < text.length()) {
            char c = text.charAt(at);
            if (c == '#') {
                int end = text.indexOf('\n', at);
                at = end < 0 ? text.length() : end;
            } else if (Character.isWhitespace(c)) {
                step();
            } else {
                return;
            }
        }
    }

    private char step() {
        char c = text.charAt(at++);
        if (c == '\n') {
            line++;
        }
        return c;
    }

    private String quoted(char quote) {
        int start = line;
        step();
        StringBuilder word = new StringBuilder();
        while (at < text.length()) {
            char c = step();
            if (c == quote) {
                return word.toString();
            }
            if (c == '\\' && at < text.length() && (text.charAt(at) == quote || text.charAt(at) == '\\')) {
                c = step();
            }
            word.append(c);
        }
        throw bad(start, "this quote is not closed");
    }

    /** A word without quotes; a variable's name may hold braces, and a backslash keeps the sign behind it. */
    private String bare() {
        StringBuilder word = new StringBuilder();
        while (at < text.length()) {
            char c = text.charAt(at);
            boolean variable = c == '{' && word.length() > 0 && word.charAt(word.length() - 1) == '$';
            if (variable) {
                int end = text.indexOf('}', at);
                if (end < 0) {
                    throw bad(line, "this variable's name is not closed");
                }
                word.append(text, at, end + 1);
                at = end + 1;
                continue;
            }
            if (Character.isWhitespace(c) || c == ';' || c == '{') {
                break;
            }
            word.append(step());
            if (c == '\\' && at < text.length()) {
                word.append(step());
            }
        }
        return word.toString();
    }
}
