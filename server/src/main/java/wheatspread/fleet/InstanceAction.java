package wheatspread.fleet;

/** An action of the supervisor on one instance. The fleet's state is saved before the action is carried out. */
public sealed interface InstanceAction {
    /** Returns the name of the instance. */
    String instance();

    /** Starts a process of a build with this generation number. */
    record Start(String instance, String build, int generation) implements InstanceAction {}

    /** Sends SIGTERM, after which the process drains and exits. */
    record Terminate(String instance, int generation) implements InstanceAction {}

    /** Sends SIGKILL; {@code reason} is logged. */
    record Kill(String instance, int generation, String reason) implements InstanceAction {}
}
