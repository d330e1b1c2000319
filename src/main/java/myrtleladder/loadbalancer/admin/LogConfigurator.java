package myrtleladder.loadbalancer.admin;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Applies the configured format and levels to the JDK's logging. */
final class LogConfigurator {
    /**
     * Strong references to the configured loggers. The JDK's log manager has weak references only,
     * so a logger's level would be lost on garbage collection.
     */
    private static final List<Logger> CONFIGURED_LOGGERS = new ArrayList<>();

    private LogConfigurator() {}

    /**
     * Configures the log, which is written to standard error.
     *
     * @param process name of this process in each line
     */
    static void configure(OperatorConfiguration.LogSection log, String process) {
        for (Handler handler : Logger.getLogger("").getHandlers()) {
            handler.setLevel(Level.ALL);
            boolean isJson = log.format() == OperatorConfiguration.LogFormat.JSON;
            if (isJson && handler instanceof ConsoleHandler) {
                handler.setFormatter(new JsonLogFormatter(process));
            }
        }
        setLevel("", log.level());
        log.levels()
                .forEach(
                        (subsystem, level) ->
                                Subsystems.loggers(subsystem)
                                        .forEach(logger -> setLevel(logger, level)));
    }

    private static void setLevel(String name, OperatorConfiguration.LogLevel level) {
        Logger logger = Logger.getLogger(name);
        CONFIGURED_LOGGERS.add(logger);
        logger.setLevel(
                switch (level) {
                    case ERROR -> Level.SEVERE;
                    case WARNING -> Level.WARNING;
                    case INFO -> Level.INFO;
                    case DEBUG -> Level.FINE;
                });
    }
}
