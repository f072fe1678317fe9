package wheatspread.fleet;

/**
 * How far one instance of a rollout has come.
 *
 * <table>
 * <caption>Steps, and what leads to the next one</caption>
 * <tr><th>step</th><th>meaning</th><th>followed by</th></tr>
 * <tr><td>{@code PENDING}</td><td>it runs what it ran before</td>
 *     <td>{@code DRAINING} when its turn comes; {@code STOPPED} if it has no process then</td></tr>
 * <tr><td>{@code DRAINING}</td><td>its process was sent SIGTERM</td><td>{@code STOPPED} on its exit</td></tr>
 * <tr><td>{@code STOPPED}</td><td>it has no process and is to start with the other build</td>
 *     <td>{@code STARTING}</td></tr>
 * <tr><td>{@code STARTING}</td><td>its new process was started</td>
 *     <td>{@code VERIFYING} once it is healthy; {@code DONE} at once in a rollback</td></tr>
 * <tr><td>{@code VERIFYING}</td><td>it has yet to show that the new build serves</td>
 *     <td>{@code DONE}; {@code DRAINING} for another attempt; {@code STOPPED} on its exit</td></tr>
 * <tr><td>{@code DONE}</td><td>it runs the build that it is to run, or was taken out</td>
 *     <td>{@code PENDING} if a rollback begins; {@code STOPPED} on an unexpected exit</td></tr>
 * </table>
 */
public enum RolloutStep {
    PENDING("WAITING"),
    DRAINING("LEAVING"),
    STOPPED("GONE"),
    STARTING("STARTING"),
    VERIFYING("PROVING"),
    DONE("DONE");

    private final String storedName;

    RolloutStep(String storedName) {
        this.storedName = storedName;
    }

    /** The name in files. It stays when the constant is renamed. */
    public String storedName() {
        return storedName;
    }

    /** Whether the instance is between its old and its new process, or the new one is not verified. */
    boolean isBeingReplaced() {
        return this != PENDING && this != DONE;
    }

    /** Where a rollback takes this step up. Instances without a process, and those about to exit, stay as they are. */
    RolloutStep whenRollingBack() {
        return switch (this) {
            case PENDING -> DONE;
            case STOPPED, DRAINING -> this;
            default -> PENDING;
        };
    }

    /** The constant with this stored name; an unknown name is an {@link IllegalArgumentException}. */
    public static RolloutStep fromStoredName(String storedName) {
        for (RolloutStep step : values()) {
            if (step.storedName.equals(storedName)) {
                return step;
            }
        }
        throw new IllegalArgumentException("unknown step: " + storedName);
    }
}
