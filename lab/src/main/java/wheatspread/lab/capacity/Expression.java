package wheatspread.lab.capacity;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/** A formula of the plan, built of names, numbers, {@code + - * /} and parentheses. */
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
     * Parses a formula.
     *
     * @throws IllegalArgumentException if the formula is malformed; the message names the error and the character
     */
    public static Expression parse(String text) {
        Parser parser = new Parser(text);
        Node root = parser.sum();
        parser.expectEnd();
        return new Expression(text, root, parser.names);
    }

    /** The names in the formula, in the order of their first occurrence. */
    public Set<String> names() {
        return names;
    }

    /** Evaluates the formula; {@code values} maps its names to values. */
    public double evaluate(ToDoubleFunction<String> values) {
        return root.evaluate(values);
    }

    @Override
    public String toString() {
        return text;
    }

    /** Recursive-descent parser for a sum of products of numbers, names and sums in parentheses. */
    private static final class Parser {
        private final String text;
        private final Set<String> names = new LinkedHashSet<>();
        private int position;

        Parser(String text) {
            this.text = text;
        }

        private Node sum() {
            Node result = product();
            for (char sign = peek(); sign == '+' || sign == '-'; sign = peek()) {
                position++;
                Node first = result;
                Node second = product();
                result = sign == '+'
                        ? values -> first.evaluate(values) + second.evaluate(values)
                        : values -> first.evaluate(values) - second.evaluate(values);
            }
            return result;
        }

        private Node product() {
            Node result = factor();
            for (char sign = peek(); sign == '*' || sign == '/'; sign = peek()) {
                position++;
                Node first = result;
                Node second = factor();
                result = sign == '*'
                        ? values -> first.evaluate(values) * second.evaluate(values)
                        : values -> first.evaluate(values) / second.evaluate(values);
            }
            return result;
        }

        private Node factor() {
            char next = peek();
            if (next == '(') {
                position++;
                Node inner = sum();
                if (peek() != ')') {
                    throw syntaxError("a closing parenthesis is missing");
                }
                position++;
                return inner;
            }
            if (Character.isDigit(next)) {
                double number = Double.parseDouble(readWhile("0123456789."));
                return values -> number;
            }
            if (Character.isLowerCase(next)) {
                String name = readWhile("abcdefghijklmnopqrstuvwxyz0123456789_");
                names.add(name);
                return values -> values.applyAsDouble(name);
            }
            throw syntaxError("a number, a name or a parenthesis is missing");
        }

        private String readWhile(String characters) {
            int start = position;
            while (position < text.length() && characters.indexOf(text.charAt(position)) >= 0) {
                position++;
            }
            return text.substring(start, position);
        }

        /** Skips spaces and returns the next character without consuming it; 0 at the end. */
        private char peek() {
            while (position < text.length() && text.charAt(position) == ' ') {
                position++;
            }
            return position < text.length() ? text.charAt(position) : 0;
        }

        private void expectEnd() {
            if (peek() != 0) {
                throw syntaxError("unexpected text follows the formula");
            }
        }

        private IllegalArgumentException syntaxError(String message) {
            return new IllegalArgumentException(message + " at character " + (position + 1) + " of " + text);
        }
    }
}
