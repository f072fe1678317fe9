package wheatspread.fleet;

/**
 * How far a rollout has come. {@code IN_PROGRESS} ends in {@code COMPLETED}, in {@code STOPPED}, or by way of
 * {@code ROLLING_BACK} in {@code ROLLED_BACK}; an operator can stop it while it rolls back, too.
 */
public enum RolloutStatus {
    IN_PROGRESS("RUNNING"),
    ROLLING_BACK("ROLLING_BACK"),
    COMPLETED("DONE"),
    STOPPED("STOPPED"),
    ROLLED_BACK("ROLLED_BACK");

    private final String storedName;

    RolloutStatus(String storedName) {
        this.storedName = storedName;
    }

    /** The name in files and in the log. It stays when the constant is renamed. */
    public String storedName() {
        return storedName;
    }

    /** Whether no further step follows. */
    public boolean isOver() {
        return this != IN_PROGRESS && this != ROLLING_BACK;
    }

    /** The constant with this stored name; an unknown name is an {@link IllegalArgumentException}. */
    public static RolloutStatus fromStoredName(String storedName) {
        for (RolloutStatus status : values()) {
            if (status.storedName.equals(storedName)) {
                return status;
            }
        }
        throw new IllegalArgumentException("unknown status: " + storedName);
    }
}
