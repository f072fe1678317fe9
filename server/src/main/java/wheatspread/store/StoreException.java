package wheatspread.store;

import java.io.IOException;

/** Thrown if a folder contains a file that this program cannot or must not use. The message is for the operator. */
public abstract class StoreException extends IOException {
    private static final long serialVersionUID = 1L;

    private final String file;

    StoreException(String file, String message, Throwable cause) {
        super(message, cause);
        this.file = file;
    }

    /** Returns the name of the file that caused the exception, relative to the folder. */
    public final String file() {
        return file;
    }
}
