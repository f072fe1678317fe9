package wheatspread.kernel;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * The commands that the kernel may not have read yet, in the order in which they were issued. A command is removed
 * once a message of the kernel confirms that it was read; until then it may have to be sent again.
 */
final class UnconfirmedCommands {
    /** A command with its sequence number and the line to send. */
    private record Command(long sequenceNumber, String type, String job, String line) {}

    private final Deque<Command> commands = new ArrayDeque<>();
    private long lastSequenceNumber;
    /** The sequence number of the last command sent on the connection in use; 0 if none was sent. */
    private long lastSentSequenceNumber;

    void add(String type, String job, String line) {
        commands.add(new Command(++lastSequenceNumber, type, job, line));
    }

    boolean isEmpty() {
        return commands.isEmpty();
    }

    /** Returns the sequence number of the last command that was added; 0 if none was added. */
    long lastSequenceNumber() {
        return lastSequenceNumber;
    }

    /** Sends every command that has not been sent on the connection in use. */
    void sendUnsent(Consumer<String> connection) {
        commands.stream()
                .filter(command -> command.sequenceNumber() > lastSentSequenceNumber)
                .forEach(command -> connection.accept(command.line()));
        lastSentSequenceNumber = lastSequenceNumber;
    }

    /** Marks all commands as unsent, for a new connection. */
    void markAllUnsent() {
        lastSentSequenceNumber = 0;
    }

    /**
     * Removes all commands up to a sequence number, which the kernel has read. Returns whether these include every
     * command sent on the connection in use.
     */
    boolean confirmUpTo(long sequenceNumber) {
        while (!commands.isEmpty() && commands.peek().sequenceNumber() <= sequenceNumber) {
            commands.poll();
        }
        return sequenceNumber >= lastSentSequenceNumber;
    }

    /** Removes the commands of a run that has ended, since the kernel has read all of them. */
    void confirmEnded(String job) {
        commands.removeIf(command -> command.job().equals(job));
    }

    /**
     * Removes the commands of a run that waits for a dependency call, since the kernel has read them. A suspend
     * command is kept, since the kernel may have sent the notice before it read the suspend command.
     */
    void confirmWaitingForCall(String job) {
        commands.removeIf(
                command -> command.job().equals(job) && !command.type().equals(KernelWireNames.SUSPEND));
    }

    /** Removes a command that the kernel rejected and has therefore read. */
    void confirmRejected(String job, String type) {
        commands.removeIf(command -> command.job().equals(job) && command.type().equals(type));
    }
}
