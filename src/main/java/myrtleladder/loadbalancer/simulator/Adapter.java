package myrtleladder.loadbalancer.simulator;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import myrtleladder.error.OperatorError.InvalidInput;

/**
 * The command {@code adapter}: reads one batch of events per line of standard input and writes the
 * decisions for each batch as one line.
 */
public final class Adapter {
    private static final int OUTPUT_BUFFER_BYTES = 1 << 16;

    private static final int EXIT_OK = 0;
    private static final int EXIT_INVALID_INPUT = 1;
    private static final int EXIT_USAGE = 2;

    private Adapter() {}

    /**
     * Runs until the end of input. Returns exit status 0, 1 for invalid input or 2 for wrong usage.
     */
    public static int run(String[] args, InputStream in, OutputStream stdout, PrintStream err) {
        if (args.length != 1 || !args[0].equals("adapter")) {
            err.println("usage: java -jar myrtleladder-loadbalancer.jar adapter");
            return EXIT_USAGE;
        }
        DecisionWriter decisions = new DecisionWriter();
        InstanceRegistry instances = new InstanceRegistry(decisions);
        BatchReader batches = new BatchReader(new EventDispatcher(instances, err));
        long lineNumber = 0;
        try (OutputStream out = new BufferedOutputStream(stdout, OUTPUT_BUFFER_BYTES)) {
            LineReader lines = new LineReader(in);
            while (lines.next()) {
                lineNumber++;
                decisions.begin();
                batches.read(lines.bytes(), lines.length());
                decisions.end().writeTo(out);
                out.flush();
            }
            return EXIT_OK;
        } catch (InvalidInput | IOException e) {
            err.println("line " + Math.max(lineNumber, 1) + ": " + e.getMessage());
            return EXIT_INVALID_INPUT;
        }
    }
}
