package wheatspread.fleet;

/**
 * The step of one instance in a rollout.
 *
 * <table>
 * <caption>Steps and their transitions</caption>
 * <tr><th>step</th><th>meaning</th><th>followed by</th></tr>
 * <tr><td>{@code PENDING}</td><td>the rollout has not reached it</td>
 *     <td>{@code DRAINING} when the rollout reaches it; {@code STOPPED} if it has no process at that time;
 *     {@code DONE} if the rollout skips it</td></tr>
 * <tr><td>{@code DRAINING}</td><td>its process was sent SIGTERM</td><td>{@code STOPPED} on its exit</td></tr>
 * <tr><td>{@code STOPPED}</td><td>it has no process, and will start with the new build (in a
 *     rollback, with the old build)</td>
 *     <td>{@code STARTING}</td></tr>
 * <tr><td>{@code STARTING}</td><td>its process with the intended build was started</td>
 *     <td>{@code VERIFYING} once it is healthy; {@code DONE} at once in a rollback</td></tr>
 * <tr><td>{@code VERIFYING}</td><td>it is healthy, and the new build has not been verified yet</td>
 *     <td>{@code DONE}; {@code DRAINING} if it fails too many requests and the new build must be started again;
 *     {@code STOPPED} on its exit</td></tr>
 * <tr><td>{@code DONE}</td><td>it runs the intended build, or the rollout skips it</td>
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

    /** Returns the name used in files, which must not change when the constant is renamed. */
    public String storedName() {
        return storedName;
    }

    /** Returns whether the old process is being stopped or the new process is not verified yet. */
    boolean isBeingReplaced() {
        return this != PENDING && this != DONE;
    }

    /** Returns the step at the start of a rollback; stopped and draining instances keep their step. */
    RolloutStep stepInRollback() {
        return switch (this) {
            case PENDING -> DONE;
            case STOPPED, DRAINING -> this;
            default -> PENDING;
        };
    }

    /**
     * Returns the constant with this stored name.
     *
     * @throws IllegalArgumentException if the name is unknown
     */
    public static RolloutStep fromStoredName(String storedName) {
        for (RolloutStep step : values()) {
            if (step.storedName.equals(storedName)) {
                return step;
            }
        }
        throw new IllegalArgumentException("unknown step: " + storedName);
    }
}
