package wheatspread.lab.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import wheatspread.lab.report.Series;

/** Each fit is exact for points of its own form; the largest residual shows a bad fit. */
class FitTest {
    private static List<Series.Point> points(double... sizesAndValues) {
        List<Series.Point> points = new ArrayList<>();
        for (int i = 0; i < sizesAndValues.length; i += 2) {
            points.add(new Series.Point(sizesAndValues[i], sizesAndValues[i + 1]));
        }
        return points;
    }

    @Test
    void linearIsExactForPointsOnALineInAnyOrder() {
        FittedLine line = Fit.LINEAR.through(points(700, 1407, 100, 207, 350, 707));
        assertThat(line.slope()).isCloseTo(2, within(1e-12));
        assertThat(line.intercept()).isCloseTo(7, within(1e-9));
        assertThat(line.valueAt(1400)).isCloseTo(2807, within(1e-9));
        assertThat(line.largestResidual()).isCloseTo(0, within(1e-12));
    }

    @Test
    void linearMinimisesSquaresForPointsOffALine() {
        FittedLine line = Fit.LINEAR.through(points(0, 0, 1, 3, 2, 0));
        assertThat(line.slope()).isCloseTo(0, within(1e-12));
        assertThat(line.intercept()).isCloseTo(1, within(1e-12));
        assertThat(line.largestResidual()).isCloseTo(2.0 / 3, within(1e-12));
    }

    @Test
    void logIsExactForALogarithm() {
        FittedLine line = Fit.LOG.through(points(10, 1 + 3 * Math.log(10), 1000, 1 + 3 * Math.log(1000)));
        assertThat(line.valueAt(100_000)).isCloseTo(1 + 3 * Math.log(100_000), within(1e-9));
    }

    @Test
    void proportionalPassesThroughTheOrigin() {
        FittedLine single = Fit.PROPORTIONAL.through(points(17, 34));
        assertThat(single.slope()).isEqualTo(2);
        assertThat(single.valueAt(1400)).isEqualTo(2800);
        FittedLine fitted = Fit.PROPORTIONAL.through(points(1, 1, 2, 4));
        assertThat(fitted.slope()).isCloseTo(9.0 / 5, within(1e-12));
        assertThat(fitted.intercept()).isZero();
    }

    @Test
    void lastInterpolatesAndExtrapolatesWithTheLastSlope() {
        FittedLine line = Fit.LAST.through(points(100, 90, 100, 110, 200, 160, 400, 300));
        assertThat(line.slope()).isCloseTo(0.7, within(1e-12));
        assertThat(line.valueAt(800)).isCloseTo(580, within(1e-9));
        assertThat(line.valueAt(400)).isCloseTo(300, within(1e-9));
        assertThat(line.valueAt(300)).isCloseTo(230, within(1e-9));
        assertThat(line.valueAt(150)).isCloseTo(130, within(1e-9));
        assertThat(line.valueAt(100)).isCloseTo(100, within(1e-9));
        assertThat(line.valueAt(50)).isCloseTo(70, within(1e-9));
        assertThat(line.largestResidual()).isCloseTo(10.0 / 300, within(1e-12));
    }

    @Test
    void constantIsTheMeanOfThePoints() {
        FittedLine line = Fit.CONSTANT.through(points(20, 3, 40, 5));
        assertThat(line.valueAt(1400)).isEqualTo(4);
    }

    @Test
    void stretchIsSizeOverLargestMeasuredSize() {
        FittedLine line = Fit.LINEAR.through(points(350, 1, 100, 1));
        assertThat(line.smallest()).isEqualTo(100);
        assertThat(line.largest()).isEqualTo(350);
        assertThat(line.stretch(1400)).isEqualTo(4);
    }

    @Test
    void rejectsTooFewSizes() {
        for (Fit fit : List.of(Fit.LINEAR, Fit.LOG, Fit.LAST)) {
            assertThatThrownBy(() -> fit.through(points(100, 1, 100, 2))).hasMessageContaining(fit.planName());
        }
        assertThatThrownBy(() -> Fit.CONSTANT.through(List.of())).hasMessageContaining("constant");
        assertThatThrownBy(() -> Fit.LOG.through(points(0, 1, 10, 2))).hasMessageContaining("log");
    }
}
