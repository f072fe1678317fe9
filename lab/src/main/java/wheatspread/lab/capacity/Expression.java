package wheatspread.lab.capacity;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/** A formula of the plan: names, numbers, {@code + - * /} and parentheses. */
public final class Expression {
    private final String text;
    private final Node root;
    private final Set<String> names;

    private interface Node {
        double evaluate(ToDoubleFunction<String> values);
    }

    private Expression(String text, Node root, Set<String> names) {
        this.text = text;
        this.root = root;
        this.names = names;
    }

    /**
     * Reads a formula.
     *
     * @throws IllegalArgumentException naming what is wrong and at which character
     */
    public static Expression parse(String text) {
        Parser parser = new Parser(text);
        Node root = parser.sum();
        parser.end();
        return new Expression(text, root, parser.names);
    }

    /** The names in it, in their order. */
    public Set<String> names() {
        return names;
    }

    /** Its value with these values of its names. */
    public double evaluate(ToDoubleFunction<String> values) {
        return root.evaluate(values);
    }

    @Override
    public String toString() {
        return text;
    }

    /** Recursive descent: a sum of products of numbers, names and sums in parentheses. */
    private static final class Parser {
        private final String text;
        private final Set<String> names = new LinkedHashSet<>();
        private int position;

        Parser(String text) {
            this.text = text;
        }

        private Node sum() {
            Node left = product();
            for (char sign = peek(); sign == '+' || sign == '-'; sign = peek()) {
                position++;
                Node one = left;
                Node other = product();
                left = sign == '+'
                        ? values -> one.evaluate(values) + other.evaluate(values)
                        : values -> one.evaluate(values) - other.evaluate(values);
            }
            return left;
        }

        private Node product() {
            Node left = factor();
            for (char sign = peek(); sign == '*' || sign == '/'; sign = peek()) {
                position++;
                Node one = left;
                Node other = factor();
                left = sign == '*'
                        ? values -> one.evaluate(values) * other.evaluate(values)
                        : values -> one.evaluate(values) / other.evaluate(values);
            }
            return left;
        }

        private Node factor() {
            char first = peek();
            if (first == '(') {
                position++;
                Node inner = sum();
                if (peek() != ')') {
                    throw bad("a closing parenthesis is missing");
                }
                position++;
                return inner;
            }
            if (Character.isDigit(first)) {
                double number = Double.parseDouble(word("0123456789."));
                return values -> number;
            }
            if (Character.isLowerCase(first)) {
                String name = word("abcdefghijklmnopqrstuvwxyz0123456789_");
                names.add(name);
                return values -> values.applyAsDouble(name);
            }
            throw bad("a number, a name or a parenthesis is missing");
        }

        private String word(String characters) {
            int begin = position;
            while (position < text.length() && characters.indexOf(text.charAt(position)) >= 0) {
                position++;
            }
            return text.substring(begin, position);
        }

        /** The next character that is no space; 0 at the end. */
        private char peek() {
            while (position < text.length() && text.charAt(position) == ' ') {
                position++;
            }
            return position < text.length() ? text.charAt(position) : 0;
        }

        private void end() {
            if (peek() != 0) {
                throw bad("something follows the formula");
            }
        }

        private IllegalArgumentException bad(String complaint) {
            return new IllegalArgumentException(complaint + " at character " + (position + 1) + " of " + text);
        }
    }
}
