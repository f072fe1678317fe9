/**
 * A folder of a file system behind two interfaces, so that a test can substitute it and fail any operation. The package
 * owns file handles, the lock file of the folder, and the distinction between a full disk and other I/O errors. It does
 * not know the content of the files, nor when they must be synced.
 */
package wheatspread.disk;
