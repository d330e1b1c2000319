package myrtleladder.loadbalancer.admin;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Puts the configured log in force. */
final class Logs {
    /** Loggers that were given a level; the platform forgets those that nobody holds. */
    private static final List<Logger> HELD = new ArrayList<>();

    private Logs() {}

    /** From now on lines go to standard error as configured, under the name of this process. */
    static void set(Own.LogPart log, String process) {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            handler.setLevel(Level.ALL);
            if (handler instanceof ConsoleHandler && log.format() == Own.LogFormat.JSON) {
                handler.setFormatter(new JsonLines(process));
            }
        }
        level("", log.level());
        log.levels()
                .forEach(
                        (subsystem, level) ->
                                Subsystems.loggers(subsystem)
                                        .forEach(logger -> level(logger, level)));
    }

    private static void level(String logger, Own.LogLevel level) {
        Logger named = Logger.getLogger(logger);
        HELD.add(named);
        named.setLevel(
                switch (level) {
                    case ERROR -> Level.SEVERE;
                    case WARNING -> Level.WARNING;
                    case INFO -> Level.INFO;
                    case DEBUG -> Level.FINE;
                });
    }
}
