package wheatspread.kernel;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/** The commands that the kernel has not shown to have read, in the order in which they were given. */
final class UnconfirmedCommands {
    /** A command not known to be read; {@code number} counts commands. */
    private record Command(long number, String type, String job, String line) {}

    private final Deque<Command> commands = new ArrayDeque<>();
    /** The last command that was given. */
    private long last;
    /** The last command sent on the link in use. */
    private long lastSent;

    void add(String type, String job, String line) {
        commands.add(new Command(++last, type, job, line));
    }

    boolean isEmpty() {
        return commands.isEmpty();
    }

    /** The number of the last command that was given. */
    long last() {
        return last;
    }

    /** Sends all that has not been sent on the link in use. */
    void sendUnsent(Consumer<String> link) {
        commands.stream()
                .filter(command -> command.number() > lastSent)
                .forEach(command -> link.accept(command.line()));
        lastSent = last;
    }

    /** Another link is in use, and nothing has been sent there. */
    void resendAll() {
        lastSent = 0;
    }

    /** The kernel has read all up to this number; returns whether that is all that was sent on the link. */
    boolean confirmUpTo(long number) {
        while (!commands.isEmpty() && commands.peek().number() <= number) {
            commands.poll();
        }
        return number >= lastSent;
    }

    /** A notice says that the run is over, so what was sent for it has been read. */
    void ended(String job) {
        commands.removeIf(command -> command.job().equals(job));
    }

    /** The run waits for a call: a pause may have crossed this notice, the rest has not. */
    void blocked(String job) {
        commands.removeIf(
                command -> command.job().equals(job) && !command.type().equals("PREEMPT"));
    }

    /** The kernel did not carry it out, so it has read it. */
    void refused(String job, String type) {
        commands.removeIf(command -> command.job().equals(job) && command.type().equals(type));
    }
}
