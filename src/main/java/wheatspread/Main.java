package wheatspread;

import java.io.IOException;

/** Command line: {@code benchlink} speaks the wire on standard input and output. */
public final class Main {
    private Main() { }

    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("benchlink")) {
            System.err.println("usage: java -jar wheatspread.jar benchlink");
            System.exit(2);
        }
        try {
            new BenchLink(System.in, System.out).serve();
        } catch (BenchLink.BadInput e) {
            System.err.println("wheatspread: " + e.getMessage());
            System.exit(1);
        }
    }
}
