package myrtleladder.maintenance;

import java.util.ArrayList;
import java.util.List;
import myrtleladder.consensus.FencingToken;

/**
 * Something that operators, or whoever does the work, want of the agenda, as it goes into the log.
 */
public record OperatorCommand(byte[] bytes) {
    private static OperatorCommand of(MaintenanceCommand command) {
        return new OperatorCommand(command.write());
    }

    /** A whole plan. */
    public static List<OperatorCommand> plan(PlanTerms terms, List<MachineSpec> parts) {
        List<OperatorCommand> steps = new ArrayList<>();
        steps.add(of(MaintenanceCommand.plan(terms)));
        parts.forEach(p -> steps.add(of(MaintenanceCommand.part(terms.plan(), p))));
        return steps;
    }

    /** The work that had a permit is done. */
    public static OperatorCommand done(String machine, FencingToken permit) {
        return of(MaintenanceCommand.of(MaintenanceCommand.Kind.DONE, machine, permit));
    }

    /** Nothing more is taken out. */
    public static OperatorCommand halt(String why) {
        return of(MaintenanceCommand.of(MaintenanceCommand.Kind.HALT, null, null).because(why));
    }

    /** Things go on; what came back bad is taken in as it is. */
    public static OperatorCommand resume() {
        return of(MaintenanceCommand.of(MaintenanceCommand.Kind.RESUME, null, null));
    }

    /** A machine, or all that wait of a plan, are taken off. */
    public static OperatorCommand withdraw(String name, String why) {
        return of(MaintenanceCommand.of(MaintenanceCommand.Kind.WITHDRAW, name, null).because(why));
    }

    /** A machine goes before the others. */
    public static OperatorCommand first(String machine) {
        return of(MaintenanceCommand.of(MaintenanceCommand.Kind.FIRST, machine, null));
    }

    /** The process of that name has ended. */
    public static OperatorCommand ended(String process) {
        return of(MaintenanceCommand.of(MaintenanceCommand.Kind.ENDED, process, null));
    }

    /** No work is going on anywhere that was granted before the last founding. */
    public static OperatorCommand safe(long epoch) {
        return of(
                new MaintenanceCommand(
                        MaintenanceCommand.Kind.SAFE,
                        null,
                        null,
                        epoch,
                        null,
                        null,
                        null,
                        List.of()));
    }
}
