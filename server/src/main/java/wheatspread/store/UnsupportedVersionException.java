package wheatspread.store;

/** Thrown if a segment has a format version that this program does not support. */
public final class UnsupportedVersionException extends StoreException {
    private static final long serialVersionUID = 1L;

    private final int version;
    private final int supportedVersion;

    UnsupportedVersionException(SegmentName file, int version, int supportedVersion) {
        super(
                file.toString(),
                "file " + file + " is of version " + version + "; this program reads version " + supportedVersion,
                null);
        this.version = version;
        this.supportedVersion = supportedVersion;
    }

    /** Returns the format version of the file. */
    public int version() {
        return version;
    }

    /** Returns the format version that this program supports. */
    public int supportedVersion() {
        return supportedVersion;
    }
}
