package wheatspread.admission;

/** Readings of the moment; NaN where missing. */
public record LoadGauges(
        double coreUtilization, double runnableTasks, double memoryUtilization, double openConnections) {}
