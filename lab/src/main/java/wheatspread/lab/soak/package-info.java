/**
 * Soak runs: real server processes under load on both fronts, with disturbances, signals in series, misbehaving clients
 * and a store under writes. One seed draws everything; each run ends with the checks of the invariants.
 */
package wheatspread.lab.soak;
