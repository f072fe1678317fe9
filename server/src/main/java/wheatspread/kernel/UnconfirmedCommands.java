package wheatspread.kernel;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * The commands that the kernel may not have read yet, in the order in which they were given. A command leaves
 * once something that the kernel sent proves that it was read; until then it may have to be sent again.
 */
final class UnconfirmedCommands {
    /** A command with its sequence number and the line that carries it. */
    private record Command(long sequenceNumber, String type, String job, String line) {}

    private final Deque<Command> commands = new ArrayDeque<>();
    private long lastSequenceNumber;
    /** The last command that was sent on the connection in use; 0 if none was. */
    private long lastSent;

    void add(String type, String job, String line) {
        commands.add(new Command(++lastSequenceNumber, type, job, line));
    }

    boolean isEmpty() {
        return commands.isEmpty();
    }

    /** Returns the sequence number of the last command that was given. */
    long lastSequenceNumber() {
        return lastSequenceNumber;
    }

    /** Sends every command that has not been sent on the connection in use. */
    void sendUnsent(Consumer<String> connection) {
        commands.stream()
                .filter(command -> command.sequenceNumber() > lastSent)
                .forEach(command -> connection.accept(command.line()));
        lastSent = lastSequenceNumber;
    }

    /** Another connection is in use, on which nothing has been sent. */
    void markAllUnsent() {
        lastSent = 0;
    }

    /**
     * The kernel has read every command up to this one. Returns whether that includes all that were sent on
     * the connection in use.
     */
    boolean confirmUpTo(long sequenceNumber) {
        while (!commands.isEmpty() && commands.peek().sequenceNumber() <= sequenceNumber) {
            commands.poll();
        }
        return sequenceNumber >= lastSent;
    }

    /** A run has ended, so the kernel has read every command for it. */
    void confirmEnded(String job) {
        commands.removeIf(command -> command.job().equals(job));
    }

    /**
     * A run waits for a dependency call, so the kernel has read every command for it, except that a request
     * to suspend it may have crossed this notice.
     */
    void confirmWaitingForCall(String job) {
        commands.removeIf(
                command -> command.job().equals(job) && !command.type().equals(KernelWireNames.SUSPEND));
    }

    /** The kernel rejected a command, so it has read it. */
    void confirmRejected(String job, String type) {
        commands.removeIf(command -> command.job().equals(job) && command.type().equals(type));
    }
}
