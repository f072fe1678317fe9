package wheatspread.commands;

import picocli.CommandLine;
import wheatspread.config.JsonFields;

/** Exit codes, as in sysexits.h, and which fault ends with which. */
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

    /** Help's list of them. */
    static final String[] LIST = {
        "0:All went well.",
        "64:The command line is wrong.",
        "65:An input is wrong.",
        "66:An input cannot be read.",
        "69:An address is taken, the kernel did not come up, or a fleet failed.",
        "70:A fault in the program.",
        "73:An output cannot be written.",
        "75:It runs already, or is busy.",
        "78:A settings file is wrong."
    };

    private ExitCodes() {}

    /** A fault that ends the command with a message and no trace. */
    static final class Failure extends RuntimeException {
        private static final long serialVersionUID = 1L;
        private final int code;

        Failure(int code, String message) {
            super(message);
            this.code = code;
        }
    }

    /** Turns what a command threw into one message on standard error, and its exit code. */
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

    /** A wrong command line: what is wrong, and where help is. */
    static int misused(CommandLine.ParameterException fault, String[] args) {
        CommandLine command = fault.getCommandLine();
        command.getErr().println("wheatspread: " + fault.getMessage());
        command.getErr().println("Try '" + command.getCommandSpec().qualifiedName() + " --help'.");
        command.getErr().flush();
        return USAGE;
    }
}
