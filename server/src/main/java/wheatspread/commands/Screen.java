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

/** A table in the terminal that refreshes until q or Ctrl-C. */
final class Screen {
    private static final long REFRESH_MS = 500;
    private static final Size UNKNOWN = new Size(120, 40);

    private Screen() {}

    /** Where the lines of a table come from. */
    interface Lines {
        List<AttributedString> now() throws IOException;
    }

    static void show(Lines lines) throws IOException {
        try (Terminal terminal = TerminalBuilder.builder().system(true).build()) {
            terminal.enterRawMode();
            Thread me = Thread.currentThread();
            terminal.handle(Terminal.Signal.INT, signal -> me.interrupt());
            Display display = new Display(terminal, true);
            terminal.puts(Capability.enter_ca_mode);
            try {
                for (int key = 0; key != 'q' && key != -1; ) {
                    Size told = terminal.getSize();
                    Size size = told.getRows() > 0 && told.getColumns() > 0 ? told : UNKNOWN; // a pty may not say
                    display.resize(size.getRows(), size.getColumns());
                    List<AttributedString> now = lines.now();
                    display.update(now.subList(0, Math.min(now.size(), Math.max(1, size.getRows() - 1))), -1);
                    int read = terminal.reader().read(REFRESH_MS);
                    key = read == -2 ? 0 : read;
                }
            } catch (InterruptedIOException e) {
                Thread.interrupted(); // Ctrl-C: the terminal is given back all the same
            } finally {
                terminal.puts(Capability.exit_ca_mode);
                terminal.flush();
            }
        }
    }

    static AttributedString styled(int color, String text) {
        return color < 0
                ? new AttributedString(text)
                : new AttributedStringBuilder()
                        .styled(AttributedStyle.DEFAULT.foreground(color), text)
                        .toAttributedString();
    }
}
