package wheatspread.admission;

/** Validates settings; every failure is an {@link IllegalArgumentException} that names the setting. */
final class SettingChecks {
    private SettingChecks() {}

    static void atLeast(String name, double value, double least) {
        if (!(value >= least) || Double.isInfinite(value)) {
            throw new IllegalArgumentException(name + ": " + value + " is under " + least + " or no number");
        }
    }

    static void atMost(String name, double value, double most) {
        if (value > most) {
            throw new IllegalArgumentException(name + ": " + value + " is above " + most);
        }
    }

    static void present(String name, Object value) {
        if (value == null) {
            throw new IllegalArgumentException(name + ": missing");
        }
    }
}
