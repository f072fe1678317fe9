/**
 * The event log: names with fields in place of sentences, as text or JSON, rate-limited by event name. It owns
 * the format of lines and the set-up of Logback. It does not know which events there are.
 */
package wheatspread.logging;
