/**
 * The settings: reads the platform's file, the operator's file and the fleet's file, checks them, and gives
 * defaults. It owns the names of keys and environment variables, the bounds of values, and the messages about
 * faults. It does not know what the settings are used for beyond their types.
 */
package wheatspread.config;
