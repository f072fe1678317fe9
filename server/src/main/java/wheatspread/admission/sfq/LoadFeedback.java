package wheatspread.admission.sfq;

import wheatspread.admission.AdmissionController.Actions;
import wheatspread.admission.ClientSettings;
import wheatspread.admission.LoadFeedbackMode;

/**
 * Computes the load feedback that is sent to clients. The share of their load that clients should withhold rises slowly
 * while the pressure is above 1 and falls while it is below 1; an elevated read delay raises it at once. In window mode
 * the server offers a window of outstanding requests, a multiple of twice D, which is divided among its clients. The
 * multiple shrinks under pressure and recovers once the overload is over, so that clients do not keep avoiding an idle
 * server. A cold server scales its offer by its proven speed.
 */
final class LoadFeedback {
    /** Change of the withheld share per tick and unit of pressure; small, since all clients follow it. */
    private static final double WITHHELD_SHARE_GAIN = 0.015;
    /** Pressure above which the withheld share grows no faster. */
    private static final double MAX_PRESSURE = 3;
    /** Upper bound on the withheld share due to pressure, so that the server keeps some load. */
    private static final double MAX_WITHHELD_SHARE = 0.5;
    /** Minimum change of the withheld share that is reported. */
    private static final double MIN_REPORTED_CHANGE = 0.02;
    /**
     * Upper bound on the outstanding requests of clients, as a multiple of the base window; above 1, since requests
     * arrive in bursts.
     */
    private static final double MAX_WINDOW_MULTIPLE = 4;
    /**
     * Growth of the window multiple per tick; it shrinks twice as fast. Also the minimum relative change that is
     * reported.
     */
    private static final double WINDOW_GROWTH = 0.1;
    /** Pressure below which the window multiple grows. */
    private static final double LOW_PRESSURE = 0.3;
    /** Base window, as a multiple of D. */
    private static final double WINDOW_PER_SLOT = 2.0;

    private final ReloadableSettings settings;
    private final InFlightRequests inFlight;
    private final ServiceTimeEstimator serviceTimes;
    private final ConcurrencyLimit concurrency;
    private final OverloadDetector overload;
    private final LoadPressure pressure;
    private double withheldShareByPressure;
    private double reportedWithheldShare;
    private double windowMultiple = MAX_WINDOW_MULTIPLE;
    private double reportedWindowMultiple = MAX_WINDOW_MULTIPLE;

    LoadFeedback(
            ReloadableSettings settings,
            InFlightRequests inFlight,
            ServiceTimeEstimator serviceTimes,
            ConcurrencyLimit concurrency,
            OverloadDetector overload,
            LoadPressure pressure) {
        this.settings = settings;
        this.inFlight = inFlight;
        this.serviceTimes = serviceTimes;
        this.concurrency = concurrency;
        this.overload = overload;
        this.pressure = pressure;
    }

    void update(Actions actions) {
        LoadFeedbackMode mode = settings.current().clients().feedbackMode();
        if (mode == LoadFeedbackMode.NONE) {
            return;
        }
        updateWithheldShareByPressure();
        updateWindowMultiple();
        double withheldShare = Math.max(withheldShareByPressure, withheldShareByReadDelay());
        double offeredMultiple = windowMultiple * serviceTimes.provenSpeed();
        boolean windowChanged = mode == LoadFeedbackMode.WINDOW
                && Math.abs(offeredMultiple - reportedWindowMultiple) > WINDOW_GROWTH * reportedWindowMultiple;
        boolean shareChanged = Math.abs(withheldShare - reportedWithheldShare) >= MIN_REPORTED_CHANGE
                || withheldShare == 0 && reportedWithheldShare > 0;
        if (windowChanged || shareChanged) {
            reportedWithheldShare = withheldShare;
            reportedWindowMultiple = offeredMultiple;
            actions.setLoadFeedback(reportedValue());
        }
    }

    private void updateWithheldShareByPressure() {
        withheldShareByPressure += WITHHELD_SHARE_GAIN * (Math.min(MAX_PRESSURE, pressure.value()) - 1);
        withheldShareByPressure = Math.max(0, Math.min(MAX_WITHHELD_SHARE, withheldShareByPressure));
    }

    private void updateWindowMultiple() {
        boolean unloaded = pressure.value() < LOW_PRESSURE && inFlight.heldCount() == 0;
        windowMultiple *= unloaded ? 1 + WINDOW_GROWTH : 1 - 2 * WINDOW_GROWTH;
        windowMultiple = Math.max(1, Math.min(MAX_WINDOW_MULTIPLE, windowMultiple));
    }

    /**
     * Returns the share withheld because of the read delay; it rises from 0 at an elevated read delay to 1 at overload.
     */
    private double withheldShareByReadDelay() {
        return Math.min(
                1,
                (overload.readDelayShare() - OverloadDetector.ELEVATED_READ_DELAY_SHARE)
                        / (OverloadDetector.OVERLOAD_READ_DELAY_SHARE - OverloadDetector.ELEVATED_READ_DELAY_SHARE));
    }

    private double reportedValue() {
        ClientSettings clients = settings.current().clients();
        return switch (clients.feedbackMode()) {
            case THRESHOLD -> reportedWithheldShare;
            case SHARE -> 1 - reportedWithheldShare;
            default -> Math.max(1, windowRequests() / Math.max(1, clients.clientCount()));
        };
    }

    /** Returns the number of requests that all clients together may have outstanding. */
    private double windowRequests() {
        return WINDOW_PER_SLOT
                * concurrency.depth()
                * windowMultiple
                * serviceTimes.provenSpeed()
                * (1 - reportedWithheldShare);
    }
}
