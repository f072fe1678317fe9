/**
 * The settings: reads and checks the platform's file, the operator's file and the fleet's file, and supplies defaults.
 * This package defines the names of keys and environment variables, the bounds of values, and the messages about
 * faults. It depends on other packages only for the types of their settings.
 */
package wheatspread.config;
