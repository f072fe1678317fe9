package wheatspread.lab.capacity;

import java.math.BigDecimal;
import java.math.MathContext;
import java.math.RoundingMode;
import java.text.DecimalFormat;
import java.text.DecimalFormatSymbols;
import java.util.Locale;

/** Numbers as the page has them: three significant digits, thousands set apart. */
final class Numbers {
    private static final MathContext ROUNDED = new MathContext(3, RoundingMode.HALF_EVEN);
    private static final MathContext EXACTER = new MathContext(5, RoundingMode.HALF_EVEN);
    private static final double PERCENT = 100;

    private Numbers() {}

    /** A computed figure. */
    static String rounded(double value) {
        return format(value, ROUNDED);
    }

    /** A measured point, with five digits so that a change of a report shows. */
    static String point(double value) {
        return format(value, EXACTER);
    }

    /** A value of the plan, as it was given. */
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
