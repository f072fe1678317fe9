/**
 * One folder of a file system behind two interfaces, so that a test can stand in for it and fail any step. It owns
 * file handles,
 * the folder's lock file and the distinction between a full disk and another I/O error. It does not know what the
 * files hold, nor
 * when they must be synced.
 */
package wheatspread.disk;
