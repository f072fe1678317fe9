package wheatspread.fleet;

/**
 * The status of a rollout. {@code IN_PROGRESS} is followed by {@code COMPLETED}, {@code STOPPED} or
 * {@code ROLLING_BACK}; {@code ROLLING_BACK} is followed by {@code ROLLED_BACK}, or by {@code STOPPED} if an operator
 * stops the rollback.
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

    /** Returns the name used in files and in the log, which must not change when the constant is renamed. */
    public String storedName() {
        return storedName;
    }

    /** Returns whether this status is final. */
    public boolean isOver() {
        return this != IN_PROGRESS && this != ROLLING_BACK;
    }

    /**
     * Returns the constant with this stored name.
     *
     * @throws IllegalArgumentException if the name is unknown
     */
    public static RolloutStatus fromStoredName(String storedName) {
        for (RolloutStatus status : values()) {
            if (status.storedName.equals(storedName)) {
                return status;
            }
        }
        throw new IllegalArgumentException("unknown status: " + storedName);
    }
}
