package wheatspread.kernel;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;

/**
 * The commands that the kernel may not have read yet, in the order in which they were issued. A command is removed
 * once a message of the kernel confirms that it was read. Until then it may have been lost with its connection, and
 * its retransmission is sent on the next one. A command whose repetition could take effect a second time has no
 * retransmission.
 */
final class UnconfirmedCommands {
    /**
     * A command with its sequence number, the line to send, and the line to send after a reconnect, which is null if
     * the command must not be sent again.
     */
    private record Command(long sequenceNumber, String type, String job, String line, String retransmission) {}

    private final Deque<Command> commands = new ArrayDeque<>();
    private long lastSequenceNumber;
    /** The sequence number of the last command sent on the connection in use; 0 if none was sent. */
    private long lastSentSequenceNumber;
    /** The sequence number of the last command sent on any connection; 0 if none was sent. */
    private long lastEverSentSequenceNumber;

    /** Adds a command that takes effect only once however often the kernel reads it. */
    void addRepeatable(String type, String job, String line) {
        commands.add(new Command(++lastSequenceNumber, type, job, line, line));
    }

    /** Adds a command that must be sent at most once. */
    void addOnce(String type, String job, String line) {
        commands.add(new Command(++lastSequenceNumber, type, job, line, null));
    }

    /** Adds a command that must be sent at most once, and a repeatable one to send in its place after a reconnect. */
    void addReplaceable(String type, String job, String line, String replacement) {
        commands.add(new Command(++lastSequenceNumber, type, job, line, replacement));
    }

    boolean isEmpty() {
        return commands.isEmpty();
    }

    /** Returns the sequence number of the last command that was added; 0 if none was added. */
    long lastSequenceNumber() {
        return lastSequenceNumber;
    }

    /**
     * Sends every command that has not been sent on the connection in use. Commands that were sent on an earlier
     * connection and have no retransmission are removed instead; returns their runs, each of which may or may not have
     * received its command.
     */
    List<String> sendUnsent(Consumer<String> connection) {
        List<String> uncertainJobs = new ArrayList<>();
        Iterator<Command> remaining = commands.iterator();
        while (remaining.hasNext()) {
            Command command = remaining.next();
            if (command.sequenceNumber() <= lastSentSequenceNumber) {
                continue;
            }
            if (command.sequenceNumber() > lastEverSentSequenceNumber) {
                connection.accept(command.line());
            } else if (command.retransmission() != null) {
                connection.accept(command.retransmission());
            } else {
                remaining.remove();
                uncertainJobs.add(command.job());
            }
        }
        lastSentSequenceNumber = lastSequenceNumber;
        lastEverSentSequenceNumber = lastSequenceNumber;
        return uncertainJobs;
    }

    /** Marks all commands as unsent on the connection in use, for a new connection. */
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
