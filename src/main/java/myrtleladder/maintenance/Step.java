package myrtleladder.maintenance;

import java.util.ArrayList;
import java.util.List;
import myrtleladder.consensus.Token;

/**
 * Something that operators, or whoever does the work, want of the agenda, as it goes into the log.
 */
public record Step(byte[] bytes) {
    private static Step of(Command command) {
        return new Step(command.write());
    }

    /** A whole plan. */
    public static List<Step> plan(Terms terms, List<Part> parts) {
        List<Step> steps = new ArrayList<>();
        steps.add(of(Command.plan(terms)));
        parts.forEach(p -> steps.add(of(Command.part(terms.plan(), p))));
        return steps;
    }

    /** The work that had a permit is done. */
    public static Step done(String machine, Token permit) {
        return of(Command.of(Command.Kind.DONE, machine, permit));
    }

    /** Nothing more is taken out. */
    public static Step halt(String why) {
        return of(Command.of(Command.Kind.HALT, null, null).because(why));
    }

    /** Things go on; what came back bad is taken in as it is. */
    public static Step resume() {
        return of(Command.of(Command.Kind.RESUME, null, null));
    }

    /** A machine, or all that wait of a plan, are taken off. */
    public static Step withdraw(String name, String why) {
        return of(Command.of(Command.Kind.WITHDRAW, name, null).because(why));
    }

    /** A machine goes before the others. */
    public static Step first(String machine) {
        return of(Command.of(Command.Kind.FIRST, machine, null));
    }

    /** The process of that name has ended. */
    public static Step ended(String process) {
        return of(Command.of(Command.Kind.ENDED, process, null));
    }

    /** No work is going on anywhere that was granted before the last founding. */
    public static Step safe(long epoch) {
        return of(new Command(Command.Kind.SAFE, null, null, epoch, null, null, null, List.of()));
    }
}
