package myrtleladder.error;

import java.net.SocketAddress;
import java.nio.file.Path;

/**
 * Something that can't be done, for an operator: what happened, where, and what can be done about
 * it. Each type has a code of its own that stays, so that logs can be searched and runbooks refer
 * to it; {@code docs/errors.md} lists them. What clients are answered is the protocol's business
 * and not told here.
 */
public abstract sealed class OperatorError extends Exception {
    private static final long serialVersionUID = 1L;

    private final String code;
    private final String what;
    private final String remedy;

    private OperatorError(String code, String what, String remedy, Throwable cause) {
        super(code + " " + what + " (" + remedy + ")", cause);
        this.code = code;
        this.what = what;
        this.remedy = remedy;
    }

    /** The code of its type. */
    public final String code() {
        return code;
    }

    /** What happened and where, without code and remedy. */
    public final String what() {
        return what;
    }

    /** What an operator can do. */
    public final String remedy() {
        return remedy;
    }

    /** A variable of the environment that the platform sets is not there. */
    public static final class MissingEnvironmentVariable extends OperatorError {
        /** Of all errors of this type. */
        public static final String CODE = "Y101";

        /** What an operator can do about them. */
        public static final String REMEDY =
                "set it as the deployment page says: NODE_CONFIG names the platform's "
                        + "configuration file";

        private static final long serialVersionUID = 1L;

        /** Says what happened. */
        public MissingEnvironmentVariable(String variable) {
            super(CODE, "the environment does not say " + variable, REMEDY, null);
        }
    }

    /** A file is not there, or can't be read. */
    public static final class UnreadableFile extends OperatorError {
        /** Of all errors of this type. */
        public static final String CODE = "Y102";

        /** What an operator can do about them. */
        public static final String REMEDY =
                "check the path, its folder and its rights; nothing was changed";

        private static final long serialVersionUID = 1L;

        /** Says what happened. */
        public UnreadableFile(Path file, String why) {
            super(CODE, file + ": " + why, REMEDY, null);
        }
    }

    /**
     * A file of ours is wrong. {@code line} counts from 1, 0 if it is not known; {@code key} is
     * empty if no one key is at fault.
     */
    public static final class InvalidConfigurationFile extends OperatorError {
        /** Of all errors of this type. */
        public static final String CODE = "Y103";

        /** What an operator can do about them. */
        public static final String REMEDY =
                "mend that line and look with `config check` or `lab check`; a running balancer "
                        + "goes on with what it has";

        private static final long serialVersionUID = 1L;

        /** Says what happened. */
        public InvalidConfigurationFile(Path file, int line, String key, String why) {
            super(
                    CODE,
                    file
                            + (line > 0 ? ":" + line : "")
                            + ": "
                            + (key.isEmpty() ? "" : key + ": ")
                            + why,
                    REMEDY,
                    null);
        }
    }

    /** The platform's configuration file can't be used. */
    public static final class InvalidPlatformFile extends OperatorError {
        /** Of all errors of this type. */
        public static final String CODE = "Y104";

        /** What an operator can do about them. */
        public static final String REMEDY =
                "have the platform write the file anew; a running balancer goes on with what it "
                        + "has";

        private static final long serialVersionUID = 1L;

        /** Says what happened. */
        public InvalidPlatformFile(Path file, String why) {
            super(CODE, file + ": " + why, REMEDY, null);
        }
    }

    /** A limit that the platform states is less than this program needs. */
    public static final class LimitsTooSmall extends OperatorError {
        /** Of all errors of this type. */
        public static final String CODE = "Y105";

        /** What an operator can do about them. */
        public static final String REMEDY =
                "raise the limit; until then the balancer tries, and may be killed or refuse "
                        + "clients";

        private static final long serialVersionUID = 1L;

        /** Says what happened. */
        public LimitsTooSmall(Path file, String field, long given, long needed) {
            super(
                    CODE,
                    file + ": " + field + " is " + given + ", and " + needed + " are needed",
                    REMEDY,
                    null);
        }
    }

    /** An option of the command line has a value that can't be used. */
    public static final class InvalidOption extends OperatorError {
        /** Of all errors of this type. */
        public static final String CODE = "Y201";

        /** What an operator can do about them. */
        public static final String REMEDY = "see the command's --help";

        private static final long serialVersionUID = 1L;

        /** Says what happened. */
        public InvalidOption(String option, String why) {
            super(CODE, option + ": " + why, REMEDY, null);
        }
    }

    /** A line of input is not what the wire prescribes. */
    public static final class InvalidInput extends OperatorError {
        /** Of all errors of this type. */
        public static final String CODE = "Y202";

        /** What an operator can do about them. */
        public static final String REMEDY =
                "whoever writes the input has to write it as its page prescribes; nothing of "
                        + "the line was used";

        private static final long serialVersionUID = 1L;

        /** Says what happened. */
        public InvalidInput(String why) {
            super(CODE, why, REMEDY, null);
        }
    }

    /** An address of this machine can't be listened at. */
    public static final class AddressTaken extends OperatorError {
        /** Of all errors of this type. */
        public static final String CODE = "Y301";

        /** What an operator can do about them. */
        public static final String REMEDY =
                "end what listens there, or configure another address; nothing was served";

        private static final long serialVersionUID = 1L;

        /** Says what happened. */
        public AddressTaken(SocketAddress address, String why) {
            super(CODE, "can't listen at " + address + ": " + why, REMEDY, null);
        }
    }

    /** A process that was asked does not answer. */
    public static final class ProcessUnreachable extends OperatorError {
        /** Of all errors of this type. */
        public static final String CODE = "Y302";

        /** What an operator can do about them. */
        public static final String REMEDY =
                "look whether it runs and has admin.listen at that address; ask another process "
                        + "of the fleet";

        private static final long serialVersionUID = 1L;

        /** Says what happened. */
        public ProcessUnreachable(String address, Throwable cause) {
            super(CODE, address + ": nobody answers there", REMEDY, cause);
        }
    }

    /** A process that was asked does not have that part switched on. */
    public static final class PartNotConfigured extends OperatorError {
        /** Of all errors of this type. */
        public static final String CODE = "Y303";

        /** What an operator can do about them. */
        public static final String REMEDY =
                "configure the part there, or ask a process that has it";

        private static final long serialVersionUID = 1L;

        /** Says what happened. */
        public PartNotConfigured(String address, String part) {
            super(CODE, address + ": " + part + " is not switched on there", REMEDY, null);
        }
    }

    /** A process that was asked is there and did not do it. */
    public static final class PeerOverloaded extends OperatorError {
        /** Of all errors of this type. */
        public static final String CODE = "Y304";

        /** What an operator can do about them. */
        public static final String REMEDY =
                "ask again in a second; if it lasts, look at the process's CPU";

        private static final long serialVersionUID = 1L;

        /** Says what happened. */
        public PeerOverloaded(String address, String why) {
            super(CODE, address + ": " + why, REMEDY, null);
        }
    }

    /** Discovery has sent something that can't be read; it was skipped. */
    public static final class InvalidEndpointList extends OperatorError {
        /** Of all errors of this type. */
        public static final String CODE = "Y305";

        /** What an operator can do about them. */
        public static final String REMEDY =
                "look at discovery; what the line held is heard with the next whole list";

        private static final long serialVersionUID = 1L;

        /** Says what happened. */
        public InvalidEndpointList(SocketAddress discovery, String why) {
            super(
                    CODE,
                    "discovery at " + discovery + " sent a line that can't be read: " + why,
                    REMEDY,
                    null);
        }
    }

    /** There is no build of the program to play with. */
    public static final class MissingBuild extends OperatorError {
        /** Of all errors of this type. */
        public static final String CODE = "Y401";

        /** What an operator can do about them. */
        public static final String REMEDY = "build it: mvn -q -DskipTests package";

        private static final long serialVersionUID = 1L;

        /** Says what happened. */
        public MissingBuild(Path file, String why) {
            super(CODE, file + ": " + why, REMEDY, null);
        }
    }

    /** A process of an experiment has ended before the experiment began. */
    public static final class StartFailed extends OperatorError {
        /** Of all errors of this type. */
        public static final String CODE = "Y402";

        /** What an operator can do about them. */
        public static final String REMEDY =
                "read the log; the command is `run` of that build's deploy file";

        private static final long serialVersionUID = 1L;

        /** Says what happened. */
        public StartFailed(Path logs) {
            super(CODE, "a balancer has ended at its start; its log is in " + logs, REMEDY, null);
        }
    }

    /** A plan of work can't be taken. */
    public static final class InvalidPlan extends OperatorError {
        /** Of all errors of this type. */
        public static final String CODE = "Y501";

        /** What an operator can do about them. */
        public static final String REMEDY =
                "mend that field and hand the plan in again; nothing of it was taken";

        private static final long serialVersionUID = 1L;

        /** Says what happened. */
        public InvalidPlan(String field, String why) {
            super(CODE, field + ": " + why, REMEDY, null);
        }
    }

    /** Nothing is known of a machine that an operator or a worker names. */
    public static final class UnknownMachine extends OperatorError {
        /** Of all errors of this type. */
        public static final String CODE = "Y502";

        /** What an operator can do about them. */
        public static final String REMEDY =
                "look at GET /work and at discovery's list for its name";

        private static final long serialVersionUID = 1L;

        /** Says what happened. */
        public UnknownMachine(String machine, String why) {
            super(CODE, machine + ": " + why, REMEDY, null);
        }
    }

    /** A report is not about the work that is going on. */
    public static final class StalePermit extends OperatorError {
        /** Of all errors of this type. */
        public static final String CODE = "Y503";

        /** What an operator can do about them. */
        public static final String REMEDY =
                "look at GET /work for the permit that holds; the agenda goes by that alone";

        private static final long serialVersionUID = 1L;

        /** Says what happened. */
        public StalePermit(String machine, String why) {
            super(CODE, machine + ": " + why, REMEDY, null);
        }
    }

    /** Nothing can be decided where it was asked. */
    public static final class NoMajority extends OperatorError {
        /** Of all errors of this type. */
        public static final String CODE = "Y504";

        /** What an operator can do about them. */
        public static final String REMEDY =
                "ask a process on the other side of the cut, or wait until the council is "
                        + "together again";

        private static final long serialVersionUID = 1L;

        /** Says what happened. */
        public NoMajority(String process) {
            super(CODE, process + " hears no majority of the council", REMEDY, null);
        }
    }

    /** Nobody has foreseen this. */
    public static final class UnexpectedError extends OperatorError {
        /** Of all errors of this type. */
        public static final String CODE = "Y901";

        /** What an operator can do about them. */
        public static final String REMEDY =
                "report it with the log; it is a defect of this program";

        private static final long serialVersionUID = 1L;

        /** Says what happened. */
        public UnexpectedError(Throwable cause) {
            super(CODE, "not foreseen: " + cause, REMEDY, cause);
        }
    }
}
