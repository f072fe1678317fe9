package wheatspread.admission;

/**
 * Gauge readings at one time; NaN stands for a missing reading.
 *
 * @param coreUtilization utilization of all cores, as a share
 * @param runnableTasks number of tasks that run on a core or wait for one
 * @param memoryUtilization utilization of the memory, as a share
 * @param openConnections number of open connections
 */
public record LoadGauges(
        double coreUtilization, double runnableTasks, double memoryUtilization, double openConnections) {}
