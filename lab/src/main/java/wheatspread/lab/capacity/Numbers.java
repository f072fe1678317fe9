package wheatspread.lab.capacity;

import java.math.BigDecimal;
import java.math.MathContext;
import java.math.RoundingMode;
import java.text.DecimalFormat;
import java.text.DecimalFormatSymbols;
import java.util.Locale;

/** Formats the numbers of the page, with a comma between thousands. */
final class Numbers {
    private static final MathContext THREE_DIGITS = new MathContext(3, RoundingMode.HALF_EVEN);
    private static final MathContext FIVE_DIGITS = new MathContext(5, RoundingMode.HALF_EVEN);
    private static final double PERCENT = 100;

    private Numbers() {}

    /** Formats a computed figure with three significant digits. */
    static String rounded(double value) {
        return format(value, THREE_DIGITS);
    }

    /** Formats a measured point with five significant digits, so that a changed report changes the page. */
    static String point(double value) {
        return format(value, FIVE_DIGITS);
    }

    /** Formats a value of the plan without rounding to fewer digits. */
    static String given(double value) {
        return format(value, MathContext.DECIMAL64);
    }

    static String percent(double share) {
        return format(share * PERCENT, new MathContext(2, RoundingMode.HALF_EVEN)) + "%";
    }

    private static String format(double value, MathContext digits) {
        if (Double.isNaN(value)) {
            return "not measured";
        }
        if (Double.isInfinite(value)) {
            return "unbounded";
        }
        return new DecimalFormat("#,##0.##########", DecimalFormatSymbols.getInstance(Locale.ROOT))
                .format(BigDecimal.valueOf(value).round(digits));
    }
}
