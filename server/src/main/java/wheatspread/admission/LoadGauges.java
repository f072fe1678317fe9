package wheatspread.admission;

/**
 * Gauge readings of the moment; NaN where one is missing.
 *
 * @param coreUtilization use of all cores, as a share
 * @param runnableTasks tasks on the cores or waiting for one
 * @param memoryUtilization use of the memory, as a share
 * @param openConnections open connections
 */
public record LoadGauges(
        double coreUtilization, double runnableTasks, double memoryUtilization, double openConnections) {}
