package wheatspread.commands;

import picocli.CommandLine;
import wheatspread.config.JsonFields;

/** The exit codes, which follow sysexits.h, and the exit code of each kind of exception. */
final class ExitCodes {
    static final int OK = 0;
    static final int USAGE = 64;
    static final int DATA = 65;
    static final int NO_INPUT = 66;
    static final int UNAVAILABLE = 69;
    static final int SOFTWARE = 70;
    static final int CANNOT_CREATE = 73;
    static final int TRY_LATER = 75;
    static final int CONFIG = 78;

    /** The list of exit codes in help texts. */
    static final String[] LIST = {
        "0:Success.",
        "64:The command line is invalid.",
        "65:The input data is invalid.",
        "66:An input file cannot be read.",
        "69:An address is in use, the kernel did not become ready, or a fleet command failed.",
        "70:Internal error.",
        "73:An output file cannot be written.",
        "75:The process is already running, or a resource is in use; try again later.",
        "78:A settings file has a fault."
    };

    private ExitCodes() {}

    /** Ends a command with a message and an exit code, without a stack trace. */
    static final class Failure extends RuntimeException {
        private static final long serialVersionUID = 1L;
        private final int code;

        Failure(int code, String message) {
            super(message);
            this.code = code;
        }
    }

    /** Prints the message of an exception that a command threw on standard error; returns its exit code. */
    static int handle(Exception fault, CommandLine command, CommandLine.ParseResult parsed) {
        int code = fault instanceof Failure failure
                ? failure.code
                : fault instanceof JsonFields.InvalidValueException
                        ? CONFIG
                        : fault instanceof IllegalArgumentException ? DATA : SOFTWARE;
        String kind = fault instanceof JsonFields.InvalidValueException ? "configuration: " : "";
        String text = fault instanceof Failure || fault instanceof IllegalArgumentException
                ? fault.getMessage()
                : fault.toString();
        command.getErr().println("wheatspread: " + kind + text);
        command.getErr().flush();
        return code;
    }

    /** Prints what is wrong with a command line and how to get help; returns the exit code. */
    static int handleUsageError(CommandLine.ParameterException fault, String[] args) {
        CommandLine command = fault.getCommandLine();
        command.getErr().println("wheatspread: " + fault.getMessage());
        command.getErr().println("Try '" + command.getCommandSpec().qualifiedName() + " --help'.");
        command.getErr().flush();
        return USAGE;
    }
}
