package wheatspread.admission;

/** Validates settings. Every failure is an {@link IllegalArgumentException} that names the setting. */
final class SettingChecks {
    private SettingChecks() {}

    /** Checks that a value is a finite number and not below a minimum. */
    static void atLeast(String name, double value, double minimum) {
        if (!(value >= minimum) || Double.isInfinite(value)) {
            throw new IllegalArgumentException(name + ": " + value + " is not a finite number of at least " + minimum);
        }
    }

    static void atMost(String name, double value, double maximum) {
        if (value > maximum) {
            throw new IllegalArgumentException(name + ": " + value + " is above the maximum of " + maximum);
        }
    }

    static void present(String name, Object value) {
        if (value == null) {
            throw new IllegalArgumentException(name + ": required setting is missing");
        }
    }
}
