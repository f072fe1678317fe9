package wheatspread.admission.sfq;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class SlidingWindowMeanTest {
    private static final int WINDOW_MICROS = 50;

    private final SlidingWindowMean mean = new SlidingWindowMean(WINDOW_MICROS);

    @Test
    void countsTheTimeBeforeTheFirstValueAsZero() {
        assertThat(mean.mean(1_000)).isZero();
        mean.record(1_000, 4);
        assertThat(mean.mean(1_025)).isEqualTo(2);
        assertThat(mean.mean(1_050)).isEqualTo(4);
        assertThat(mean.mean(5_000)).isEqualTo(4);
    }

    /** Compares with the plain sum over a value for each microsecond, at random changes and reads. */
    @Test
    void equalsTheMeanOfAllValuesInTheWindow() {
        Random random = new Random(1);
        List<Integer> values = new ArrayList<>();
        int value = 0;
        for (int now = 0; now < 5_000; now++) {
            if (random.nextInt(20) == 0) {
                value = random.nextInt(10);
                mean.record(now, value);
            }
            if (random.nextInt(30) == 0) {
                double sum = values.subList(Math.max(0, now - WINDOW_MICROS), now).stream()
                        .mapToInt(Integer::intValue)
                        .sum();
                assertThat(mean.mean(now)).isCloseTo(sum / WINDOW_MICROS, within(1e-9));
            }
            values.add(value);
        }
    }
}
