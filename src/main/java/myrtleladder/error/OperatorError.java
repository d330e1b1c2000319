package myrtleladder.error;

import java.net.SocketAddress;
import java.nio.file.Path;

/**
 * An error reported to an operator: what failed, where, and how to fix it. Each type has a unique,
 * permanent error code that logs can be searched for and runbooks can refer to; {@code
 * docs/errors.md} lists the codes. Responses to clients are defined by the protocol, not by this
 * type.
 */
public abstract sealed class OperatorError extends Exception {
    private static final long serialVersionUID = 1L;

    private final String code;
    private final String description;
    private final String remedy;

    private OperatorError(String code, String description, String remedy, Throwable cause) {
        super(code + " " + description + " (" + remedy + ")", cause);
        this.code = code;
        this.description = description;
        this.remedy = remedy;
    }

    /** The permanent error code of this type, such as {@code Y101}. */
    public final String code() {
        return code;
    }

    /** What failed and where, without the code and the remedy. */
    public final String description() {
        return description;
    }

    /** What an operator can do to fix the problem. */
    public final String remedy() {
        return remedy;
    }

    /** An environment variable that the platform has to set is missing. */
    public static final class MissingEnvironmentVariable extends OperatorError {
        public static final String CODE = "Y101";

        public static final String REMEDY =
                "set it as the deployment page says: NODE_CONFIG names the platform's "
                        + "configuration file";

        private static final long serialVersionUID = 1L;

        /** Creates the error for the variable of this name. */
        public MissingEnvironmentVariable(String variable) {
            super(CODE, "the environment does not say " + variable, REMEDY, null);
        }
    }

    /** A file does not exist or can't be read. */
    public static final class UnreadableFile extends OperatorError {
        public static final String CODE = "Y102";

        public static final String REMEDY =
                "check the path, its folder and its rights; nothing was changed";

        private static final long serialVersionUID = 1L;

        /** Creates the error; {@code reason} says why the file is unreadable. */
        public UnreadableFile(Path file, String reason) {
            super(CODE, file + ": " + reason, REMEDY, null);
        }
    }

    /**
     * A configuration file of this program is invalid. {@code line} counts from 1 and is 0 if
     * unknown; {@code key} is empty if the error does not concern a single key.
     */
    public static final class InvalidConfigurationFile extends OperatorError {
        public static final String CODE = "Y103";

        public static final String REMEDY =
                "mend that line and look with `config check` or `lab check`; a running balancer "
                        + "goes on with what it has";

        private static final long serialVersionUID = 1L;

        /** Creates the error; {@code reason} describes the invalid content. */
        public InvalidConfigurationFile(Path file, int line, String key, String reason) {
            super(
                    CODE,
                    file
                            + (line > 0 ? ":" + line : "")
                            + ": "
                            + (key.isEmpty() ? "" : key + ": ")
                            + reason,
                    REMEDY,
                    null);
        }
    }

    /** The platform's configuration file is invalid. */
    public static final class InvalidPlatformFile extends OperatorError {
        public static final String CODE = "Y104";

        public static final String REMEDY =
                "have the platform write the file anew; a running balancer goes on with what it "
                        + "has";

        private static final long serialVersionUID = 1L;

        /** Creates the error; {@code reason} describes the invalid content. */
        public InvalidPlatformFile(Path file, String reason) {
            super(CODE, file + ": " + reason, REMEDY, null);
        }
    }

    /** A resource limit set by the platform is lower than the minimum of this program. */
    public static final class LimitsTooSmall extends OperatorError {
        public static final String CODE = "Y105";

        public static final String REMEDY =
                "raise the limit; until then the balancer tries, and may be killed or refuse "
                        + "clients";

        private static final long serialVersionUID = 1L;

        /**
         * Creates the error for the limit in {@code field}, with its actual and required values.
         */
        public LimitsTooSmall(Path file, String field, long actual, long required) {
            super(
                    CODE,
                    file + ": " + field + " is " + actual + ", and " + required + " are needed",
                    REMEDY,
                    null);
        }
    }

    /** A command-line option has an invalid value. */
    public static final class InvalidOption extends OperatorError {
        public static final String CODE = "Y201";

        public static final String REMEDY = "see the command's --help";

        private static final long serialVersionUID = 1L;

        /** Creates the error; {@code reason} describes what is wrong with the value. */
        public InvalidOption(String option, String reason) {
            super(CODE, option + ": " + reason, REMEDY, null);
        }
    }

    /** Input, such as a line, a request or a JSON object, violates its format. */
    public static final class InvalidInput extends OperatorError {
        public static final String CODE = "Y202";

        public static final String REMEDY =
                "whoever writes the input has to write it as its page prescribes; nothing of "
                        + "the line was used";

        private static final long serialVersionUID = 1L;

        /** Creates the error; {@code reason} names the violation of the protocol. */
        public InvalidInput(String reason) {
            super(CODE, reason, REMEDY, null);
        }
    }

    /** Binding a listening socket to a local address failed, for whatever reason. */
    public static final class AddressTaken extends OperatorError {
        public static final String CODE = "Y301";

        public static final String REMEDY =
                "end what listens there, or configure another address; nothing was served";

        private static final long serialVersionUID = 1L;

        /** Creates the error; {@code reason} describes why binding failed. */
        public AddressTaken(SocketAddress address, String reason) {
            super(CODE, "can't listen at " + address + ": " + reason, REMEDY, null);
        }
    }

    /** A process does not respond to a request. */
    public static final class ProcessUnreachable extends OperatorError {
        public static final String CODE = "Y302";

        public static final String REMEDY =
                "look whether it runs and has admin.listen at that address; ask another process "
                        + "of the fleet";

        private static final long serialVersionUID = 1L;

        /** Creates the error for the process at this address. */
        public ProcessUnreachable(String address, Throwable cause) {
            super(CODE, address + ": nobody answers there", REMEDY, cause);
        }
    }

    /** A process was asked for a component that is not enabled in its configuration. */
    public static final class PartNotConfigured extends OperatorError {
        public static final String CODE = "Y303";

        public static final String REMEDY =
                "configure the part there, or ask a process that has it";

        private static final long serialVersionUID = 1L;

        /** Creates the error for a component of the process at this address. */
        public PartNotConfigured(String address, String component) {
            super(CODE, address + ": " + component + " is not switched on there", REMEDY, null);
        }
    }

    /**
     * A process is reachable but did not carry out the request, for example because its event loop
     * is busy.
     */
    public static final class PeerOverloaded extends OperatorError {
        public static final String CODE = "Y304";

        public static final String REMEDY =
                "ask again in a second; if it lasts, look at the process's CPU";

        private static final long serialVersionUID = 1L;

        /** Creates the error; {@code reason} says why the request was not carried out. */
        public PeerOverloaded(String address, String reason) {
            super(CODE, address + ": " + reason, REMEDY, null);
        }
    }

    /** Service discovery sent a line that can't be parsed; the line was skipped. */
    public static final class InvalidEndpointList extends OperatorError {
        public static final String CODE = "Y305";

        public static final String REMEDY =
                "look at discovery; what the line held is heard with the next whole list";

        private static final long serialVersionUID = 1L;

        /** Creates the error; {@code reason} describes the parse error. */
        public InvalidEndpointList(SocketAddress discovery, String reason) {
            super(
                    CODE,
                    "discovery at " + discovery + " sent a line that can't be read: " + reason,
                    REMEDY,
                    null);
        }
    }

    /** A file of the program's build that an experiment needs is missing or unreadable. */
    public static final class MissingBuild extends OperatorError {
        public static final String CODE = "Y401";

        public static final String REMEDY = "build it: mvn -q -DskipTests package";

        private static final long serialVersionUID = 1L;

        /**
         * Creates the error; {@code file} is the expected file, {@code reason} says what is wrong
         * with it.
         */
        public MissingBuild(Path file, String reason) {
            super(CODE, file + ": " + reason, REMEDY, null);
        }
    }

    /** A process of an experiment exited before the experiment began. */
    public static final class StartFailed extends OperatorError {
        public static final String CODE = "Y402";

        public static final String REMEDY =
                "read the log; the command is `run` of that build's deploy file";

        private static final long serialVersionUID = 1L;

        /** Creates the error; {@code logs} is the folder with the log of the exited process. */
        public StartFailed(Path logs) {
            super(CODE, "a balancer has ended at its start; its log is in " + logs, REMEDY, null);
        }
    }

    /**
     * A maintenance plan, or another maintenance request of an operator or a worker, is invalid and
     * was rejected.
     */
    public static final class InvalidPlan extends OperatorError {
        public static final String CODE = "Y501";

        public static final String REMEDY =
                "mend that field and hand the plan in again; nothing of it was taken";

        private static final long serialVersionUID = 1L;

        /** Creates the error for the invalid field of the request. */
        public InvalidPlan(String field, String reason) {
            super(CODE, field + ": " + reason, REMEDY, null);
        }
    }

    /**
     * A request names a machine that discovery does not list or that has no maintenance scheduled.
     */
    public static final class UnknownMachine extends OperatorError {
        public static final String CODE = "Y502";

        public static final String REMEDY =
                "look at GET /work and at discovery's list for its name";

        private static final long serialVersionUID = 1L;

        /** Creates the error for the machine of this name. */
        public UnknownMachine(String machine, String reason) {
            super(CODE, machine + ": " + reason, REMEDY, null);
        }
    }

    /**
     * A worker reported finished maintenance, but the machine is not under maintenance by the
     * reported permit.
     */
    public static final class StalePermit extends OperatorError {
        public static final String CODE = "Y503";

        public static final String REMEDY =
                "look at GET /work for the permit that holds; the agenda goes by that alone";

        private static final long serialVersionUID = 1L;

        /** Creates the error; {@code reason} describes the current state of the machine. */
        public StalePermit(String machine, String reason) {
            super(CODE, machine + ": " + reason, REMEDY, null);
        }
    }

    /**
     * The process that received a request has no majority: it is not connected to a quorum of the
     * processes that decide together, which are called the council.
     */
    public static final class NoMajority extends OperatorError {
        public static final String CODE = "Y504";

        public static final String REMEDY =
                "ask a process on the other side of the cut, or wait until the council is "
                        + "together again";

        private static final long serialVersionUID = 1L;

        /** Creates the error for the process that has no quorum. */
        public NoMajority(String process) {
            super(CODE, process + " hears no majority of the council", REMEDY, null);
        }
    }

    /** An unexpected exception, which indicates a defect of this program. */
    public static final class UnexpectedError extends OperatorError {
        public static final String CODE = "Y901";

        public static final String REMEDY =
                "report it with the log; it is a defect of this program";

        private static final long serialVersionUID = 1L;

        /** Creates the error from the exception that was not handled. */
        public UnexpectedError(Throwable cause) {
            super(CODE, "not foreseen: " + cause, REMEDY, cause);
        }
    }
}
