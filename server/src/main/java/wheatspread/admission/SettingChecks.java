package wheatspread.admission;

/** Validates settings; every failure is an {@link IllegalArgumentException} that names the setting. */
final class SettingChecks {
    private SettingChecks() {}

    /** Checks that a value is a finite number and not below a minimum. */
    static void atLeast(String name, double value, double minimum) {
        if (!(value >= minimum) || Double.isInfinite(value)) {
            throw new IllegalArgumentException(name + ": " + value + " is under " + minimum + " or no number");
        }
    }

    /** Checks that a value is not above a maximum. */
    static void atMost(String name, double value, double maximum) {
        if (value > maximum) {
            throw new IllegalArgumentException(name + ": " + value + " is above " + maximum);
        }
    }

    /** Checks that a value is not null. */
    static void present(String name, Object value) {
        if (value == null) {
            throw new IllegalArgumentException(name + ": missing");
        }
    }
}
