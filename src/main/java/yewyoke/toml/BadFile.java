package yewyoke.toml;

import java.nio.file.Path;

/** Says what is wrong with a file, where, and with which key. */
public final class BadFile extends Exception {
    private static final long serialVersionUID = 1L;

    /** {@code line} counts from 1, 0 if it is not known; {@code key} is empty if no one key is at fault. */
    public BadFile(Path file, int line, String key, String why) {
        super(file + (line > 0 ? ":" + line : "") + ": " + (key.isEmpty() ? "" : key + ": ") + why);
    }
}
