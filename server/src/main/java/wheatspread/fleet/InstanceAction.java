package wheatspread.fleet;

/** What a supervisor has to do to one instance. The state that leads to it is saved before it is carried out. */
public sealed interface InstanceAction {
    /** The name of the instance. */
    String instance();

    /** Start a process of a build as this generation of the instance. */
    record Start(String instance, String build, int generation) implements InstanceAction {}

    /** Send SIGTERM, on which the process drains and exits. */
    record Terminate(String instance, int generation) implements InstanceAction {}

    /** Send SIGKILL. */
    record Kill(String instance, int generation, String reason) implements InstanceAction {}
}
