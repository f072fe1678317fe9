package wheatspread.commands;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.util.List;
import org.jline.terminal.Size;
import org.jline.terminal.Terminal;
import org.jline.terminal.TerminalBuilder;
import org.jline.utils.AttributedString;
import org.jline.utils.AttributedStringBuilder;
import org.jline.utils.AttributedStyle;
import org.jline.utils.Display;
import org.jline.utils.InfoCmp.Capability;

/** Displays a table in the terminal and refreshes it until q or Ctrl-C is pressed. */
final class Screen {
    private static final long REFRESH_INTERVAL_MS = 500;
    private static final Size DEFAULT_SIZE = new Size(120, 40);

    private Screen() {}

    /** Creates the current lines of a table; called once per refresh. */
    interface TableSource {
        List<AttributedString> lines() throws IOException;
    }

    static void show(TableSource table) throws IOException {
        try (Terminal terminal = TerminalBuilder.builder().system(true).build()) {
            terminal.enterRawMode();
            Thread displayThread = Thread.currentThread();
            terminal.handle(Terminal.Signal.INT, signal -> displayThread.interrupt());
            Display display = new Display(terminal, true);
            terminal.puts(Capability.enter_ca_mode);
            try {
                for (int key = 0; key != 'q' && key != -1; ) {
                    Size reported = terminal.getSize();
                    Size size = reported.getRows() > 0 && reported.getColumns() > 0
                            ? reported
                            : DEFAULT_SIZE; // a pty may report no size
                    display.resize(size.getRows(), size.getColumns());
                    List<AttributedString> lines = table.lines();
                    display.update(lines.subList(0, Math.min(lines.size(), Math.max(1, size.getRows() - 1))), -1);
                    int read = terminal.reader().read(REFRESH_INTERVAL_MS);
                    key = read == -2 ? 0 : read;
                }
            } catch (InterruptedIOException e) {
                Thread.interrupted(); // Ctrl-C ends the display; the terminal is restored below
            } finally {
                terminal.puts(Capability.exit_ca_mode);
                terminal.flush();
            }
        }
    }

    /** Returns a line in a colour of {@link AttributedStyle}; a negative colour leaves the default. */
    static AttributedString styled(int color, String text) {
        return color < 0
                ? new AttributedString(text)
                : new AttributedStringBuilder()
                        .styled(AttributedStyle.DEFAULT.foreground(color), text)
                        .toAttributedString();
    }
}
